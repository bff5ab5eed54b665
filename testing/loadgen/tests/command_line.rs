//! Tests that a malformed plan is refused with its path.

use std::process::Command;

#[test]
fn a_bad_plan_is_named() {
    let path = std::env::temp_dir().join(format!("rudder-plan-{}.json", std::process::id()));
    std::fs::write(
        &path,
        r#"{"lasts_ms": 1, "rate": 1.0, "doors": ["nowhere"]}"#,
    )
    .expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_loadgen"))
        .args(["--plan", path.to_str().expect("a path")])
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("doors.0 is not an IP number"));
    let _ = std::fs::remove_file(path);
}
