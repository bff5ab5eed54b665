//! Tests that invalid values of arguments are rejected, and that unknown faults and deployments are answered with the
//! list of valid ones.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet"))
        .args(arguments)
        .output()
        .expect("it runs")
}

#[test]
fn unknown_names_are_rejected_with_the_valid_ones() {
    let fault = run(&["run", "--faults", "earthquake"]);
    assert_eq!(fault.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&fault.stderr).contains("freeze-holder"));
    let deployment = run(&["run", "--deployment", "moon"]);
    assert_eq!(deployment.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&deployment.stderr).contains("tintwell"));
    assert_eq!(run(&["run", "--seed", "red"]).status.code(), Some(2));
    assert_eq!(run(&["sim", "--flaw", "luck"]).status.code(), Some(2));
}
