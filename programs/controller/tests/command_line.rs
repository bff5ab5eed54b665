//! What the command line says to a user.

#[path = "../../../testing/support/settings_file.rs"]
mod settings_file;

use settings_file::Binary;

const CONTROLLER: Binary =
    Binary { name: "rudder-controller", path: env!("CARGO_BIN_EXE_rudder-controller") };

#[test]
fn version_and_help_are_there() {
    CONTROLLER.check_version_and_help();
}

#[test]
fn bad_settings_are_named_by_file_key_and_reason() {
    CONTROLLER.check_bad_settings();
}

#[test]
fn an_unwritable_data_folder_is_named() {
    let file = CONTROLLER.file("notafolder", "x");
    let text = format!(
        r#"{{"place": "127.0.0.1:0", "operators": "127.0.0.1:0", "locality": "north",
            "seeds": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"], "platform": "127.0.0.1:4",
            "data": "{}/inside"}}"#,
        file.display()
    );
    let said = CONTROLLER.refused("folder", &text, &[]);
    assert!(said.contains("data cannot be written"), "{said}");
    let _ = std::fs::remove_file(file);
}

#[test]
fn a_hang_up_while_it_starts_ends_no_process() {
    CONTROLLER.check_early_hang_up();
}
