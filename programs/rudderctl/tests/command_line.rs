//! What the operators' command line says and exits with.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rudderctl"))
        .args(arguments)
        .output()
        .expect("it runs")
}

#[test]
fn exit_codes_tell_usage_from_an_unreachable_core() {
    assert_eq!(run(&["--version"]).status.code(), Some(0));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["--at", "somewhere", "spec"]).status.code(), Some(2));
    assert_eq!(
        run(&["--at", "127.0.0.1:9", "put", "/no/such/file"])
            .status
            .code(),
        Some(2)
    );
    let unreachable = run(&["--at", "127.0.0.1:9", "spec"]);
    assert_eq!(unreachable.status.code(), Some(4));
    assert!(String::from_utf8_lossy(&unreachable.stderr).contains("no controller reached"));
}

#[test]
fn trace_exit_codes_tell_usage_from_an_unreachable_core() {
    assert_eq!(run(&["--at", "nowhere", "trace"]).status.code(), Some(2));
    assert_eq!(
        run(&["--at", "127.0.0.1:9", "trace", "3"]).status.code(),
        Some(4)
    );
}
