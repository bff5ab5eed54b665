//! The command line of `rudderd`: its help, its errors and its exit codes.

#[path = "../../../testing/support/commands.rs"]
mod commands;
#[path = "../../../testing/support/forms.rs"]
mod forms;
#[path = "../../../testing/support/settings_file.rs"]
mod settings_file;

use settings_file::Binary;

const DAEMON: Binary = Binary {
    name: "rudderd",
    path: env!("CARGO_BIN_EXE_rudderd"),
};

#[test]
fn version_and_help_are_printed() {
    DAEMON.check_version_and_help();
}

#[test]
fn errors_of_bad_settings_name_file_key_and_reason() {
    DAEMON.check_bad_settings();
}

#[test]
fn a_sighup_during_start_up_does_not_end_the_process() {
    DAEMON.check_hang_up_while_reading_settings();
}

/// Guards against a process that is ended by a reload signal right after it is created.
#[test]
fn a_sighup_at_the_first_instruction_does_not_end_the_process() {
    DAEMON.check_hang_up_at_program_start();
}

#[test]
fn help_and_argument_errors_match_the_fixture() {
    let command_lines = [
        &["--help"][..],
        &["-h"],
        &["--version"],
        &[],
        &["--member"],
        &["--member", ""],
        &["--locality", ""],
        &["--zone", "north"],
        &["--place", "nowhere"],
        &["--door", "nowhere"],
        &["--seeds", "127.0.0.1:1,nowhere"],
        &["--seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4"],
        &["--platform", "nowhere"],
        &["--boot"],
        &["--boot", "/no/such/file.json"],
        &["--colour", "red"],
        &["more"],
    ];
    let text = commands::outputs(DAEMON.path, &command_lines, &[]);
    forms::check(env!("CARGO_MANIFEST_DIR"), "arguments.txt", &text);
}

#[test]
fn start_up_errors_and_exit_codes_match_the_fixture() {
    let listening = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = listening.local_addr().expect("an address").to_string();
    let minimal_settings = r#"{"member": "d", "place": "127.0.0.1:0", "door": "127.0.0.1:0", "locality": "north",
            "seeds": ["127.0.0.1:1"], "platform": "127.0.0.1:4"}"#;
    let file = DAEMON.write_file("start", minimal_settings);
    let ready = DAEMON.write_file(
        "ready",
        &minimal_settings.replace('}', r#", "ready": "192.0.2.1:8081"}"#),
    );
    let (file_name, ready_name) = (
        file.to_str().expect("a path"),
        ready.to_str().expect("a path"),
    );
    let mut text = commands::output(DAEMON.path, &["--boot", ready_name], &[]);
    for arguments in [
        &["--place", "192.0.2.1:7100"][..],
        &["--door", "192.0.2.1:8080"],
        &["--door", taken.as_str()],
    ] {
        let arguments = [&["--boot", file_name], arguments].concat();
        text += &commands::output(DAEMON.path, &arguments, &[]);
    }
    let _ = (std::fs::remove_file(&file), std::fs::remove_file(&ready));
    let text = text
        .replace(file_name, "FILE")
        .replace(ready_name, "FILE-WITH-READY");
    forms::check(
        env!("CARGO_MANIFEST_DIR"),
        "starts.txt",
        &text.replace(&taken, "TAKEN"),
    );
}
