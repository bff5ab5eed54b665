//! What the tracer says when there is nothing to trace.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_blaze")).args(arguments).output().expect("it runs")
}

#[test]
fn exit_codes_tell_usage_from_an_unreachable_core() {
    assert_eq!(run(&["--version"]).status.code(), Some(0));
    assert_eq!(run(&["--at", "nowhere"]).status.code(), Some(2));
    assert_eq!(run(&["--at", "127.0.0.1:9", "3"]).status.code(), Some(4));
}
