//! The command line of `rudder-controller`: its help, its errors and its exit codes.

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
fn version_and_help_are_printed() {
    CONTROLLER.check_version_and_help();
}

#[test]
fn errors_of_bad_settings_name_file_key_and_reason() {
    CONTROLLER.check_bad_settings();
}

#[test]
fn the_error_for_an_unwritable_data_directory_names_it() {
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
fn a_sighup_during_start_up_does_not_end_the_process() {
    CONTROLLER.check_hang_up_while_reading_settings();
}

/// Guards against a process that is ended by a reload signal right after it is created.
#[test]
fn a_sighup_at_the_first_instruction_does_not_end_the_process() {
    CONTROLLER.check_hang_up_at_program_start();
}

#[test]
fn help_and_argument_errors_match_the_fixture() {
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
fn start_up_errors_and_exit_codes_match_the_fixture() {
    let listening = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = listening.local_addr().expect("an address").to_string();
    let minimal_settings = r#"{"place": "127.0.0.1:0", "operators": "127.0.0.1:0", "locality": "north",
            "seeds": ["127.0.0.1:1"], "platform": "127.0.0.1:4"}"#;
    let file = CONTROLLER.write_file("start", minimal_settings);
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
