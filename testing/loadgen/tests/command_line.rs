//! Tests that an error in a plan is reported with the path of the field.

use std::process::Command;

#[test]
fn reports_the_path_of_a_malformed_field() {
    let path = std::env::temp_dir().join(format!("rudder-plan-{}.json", std::process::id()));
    std::fs::write(
        &path,
        r#"{"lasts_ms": 1, "rate": 1.0, "doors": ["nowhere"]}"#,
    )
    .expect("the plan is written");
    let output = Command::new(env!("CARGO_BIN_EXE_loadgen"))
        .args(["--plan", path.to_str().expect("a UTF-8 path")])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("doors.0 is not an IP number"));
    let _ = std::fs::remove_file(path);
}
