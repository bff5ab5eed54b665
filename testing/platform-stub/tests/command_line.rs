//! Tests that the platform double prints its name and version.

use std::process::Command;

#[test]
fn it_says_its_version() {
    let output = Command::new(env!("CARGO_BIN_EXE_platform-stub"))
        .arg("--version")
        .output()
        .expect("it runs");
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("platform-stub "));
}
