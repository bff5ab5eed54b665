//! The command line of `rudder-controller`: its help, its errors, and the exit code of each.

#[path = "../../../testing/support/commands.rs"]
mod commands;
#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/settings_file.rs"]
mod settings_file;

use settings_file::Binary;

const CONTROLLER: Binary = Binary {
    name: "rudder-controller",
    path: env!("CARGO_BIN_EXE_rudder-controller"),
};

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
    let file = CONTROLLER.write_file("notafolder", "x");
    let text = format!(
        r#"{{"place": "127.0.0.1:0", "operators": "127.0.0.1:0", "locality": "north",
            "seeds": ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"], "platform": "127.0.0.1:4",
            "data": "{}/inside"}}"#,
        file.display()
    );
    let error_text = CONTROLLER.check_refused("folder", &text, &[]);
    assert!(
        error_text.contains("data cannot be written"),
        "{error_text}"
    );
    let _ = std::fs::remove_file(file);
}

#[test]
fn a_hang_up_while_it_starts_ends_no_process() {
    CONTROLLER.check_hang_up_while_reading_settings();
}

/// Guards against a program that ends when its settings are reloaded right after its start.
#[test]
fn a_hang_up_at_its_first_code_ends_no_process() {
    CONTROLLER.check_hang_up_at_program_start();
}

#[test]
fn help_and_refusals_of_arguments_are_as_they_were() {
    let command_lines = [
        &["--help"][..],
        &["-h"],
        &["--version"],
        &[],
        &["--place"],
        &["--place", "nowhere"],
        &["--place", "127.0.0.1:1"],
        &["--operators", "nowhere"],
        &["--locality", ""],
        &["--zone", "north"],
        &["--seeds", "127.0.0.1:1,nowhere"],
        &["--seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4"],
        &["--platform", "nowhere"],
        &["--found-first", "--data", ""],
        &["--found_first"],
        &["--recover", "yes"],
        &["--boot"],
        &["--boot", "/no/such/file.json"],
        &["--colour", "red"],
        &["more"],
    ];
    let text = commands::outputs(CONTROLLER.path, &command_lines, &[]);
    forms::check(env!("CARGO_MANIFEST_DIR"), "arguments.txt", &text);
}

#[test]
fn what_it_cannot_start_with_has_its_exit_code() {
    let listening = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = listening.local_addr().expect("an address").to_string();
    let least = r#"{"place": "127.0.0.1:0", "operators": "127.0.0.1:0", "locality": "north",
            "seeds": ["127.0.0.1:1"], "platform": "127.0.0.1:4"}"#;
    let file = CONTROLLER.write_file("start", least);
    let file_name = file.to_str().expect("a path");
    let mut text = String::new();
    for arguments in [
        &["--recover", "yes"][..],
        &["--recover", "i-accept-the-loss"],
        &[
            "--recover",
            "i-accept-the-loss",
            "--data",
            "/no/such/folder",
        ],
        &["--data", "/proc/no/such/folder"],
        &["--place", "192.0.2.1:7100"],
        &["--operators", "192.0.2.1:7111"],
        &["--operators", taken.as_str()],
    ] {
        let arguments = [&["--boot", file_name], arguments].concat();
        text += &commands::output(CONTROLLER.path, &arguments, &[]);
    }
    let _ = std::fs::remove_file(&file);
    let text = text.replace(file_name, "FILE").replace(&taken, "TAKEN");
    forms::check(env!("CARGO_MANIFEST_DIR"), "starts.txt", &text);
}
