//! Tests that the test double of the platform prints its name and version.

use std::process::Command;

#[test]
fn prints_its_name_and_version() {
    let output = Command::new(env!("CARGO_BIN_EXE_platform-stub"))
        .arg("--version")
        .output()
        .expect("the program runs");
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("platform-stub "));
}
