//! What the command line says to a user.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rudderd")).args(arguments).output().expect("it runs")
}

fn boot_file(name: &str, text: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("rudder-daemon-{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

fn refused(name: &str, text: &str, more: &[&str]) -> String {
    let path = boot_file(name, text);
    let mut arguments = vec!["--boot", path.to_str().expect("a path")];
    arguments.extend(more);
    let output = run(&arguments);
    let said = String::from_utf8_lossy(&output.stderr).trim().to_owned();
    assert_eq!(output.status.code(), Some(2), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
    assert!(said.contains(path.to_str().expect("a path")), "{said}");
    let _ = std::fs::remove_file(path);
    said
}

#[test]
fn version_and_help_are_there() {
    let version = run(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("rudderd "));
    assert_eq!(version.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&run(&["--help"]).stdout).contains("--boot"));
}

#[test]
fn bad_settings_are_named_by_file_key_and_reason() {
    assert!(refused("unknown", r#"{"colour": "red"}"#, &[]).contains("colour is not a known key"));
    assert!(refused("missing", "{}", &[]).contains("is missing"));
    assert!(refused("json", "{", &[]).contains("not JSON"));
    let bad_place = refused("place", r#"{"place": "localhost:1"}"#, &[]);
    assert!(bad_place.contains("place is not an IP number with port"), "{bad_place}");
    let overridden = refused("flag", r#"{"place": "127.0.0.1:1"}"#, &["--place", "nowhere"]);
    assert!(overridden.contains("place is not an IP number with port"), "{overridden}");
    let seeds = r#"{"seeds": ["127.0.0.1:1", "127.0.0.1:2"]}"#;
    assert_eq!(run(&["--boot", "/no/such/file.json"]).status.code(), Some(2));
    let _ = refused("seeds", seeds, &[]);
}
