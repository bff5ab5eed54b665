//! The command line of `rudderd`: its help, its errors, and the exit code of each.

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
fn version_and_help_are_there() {
    DAEMON.check_version_and_help();
}

#[test]
fn bad_settings_are_named_by_file_key_and_reason() {
    DAEMON.check_bad_settings();
}

#[test]
fn a_hang_up_while_it_starts_ends_no_process() {
    DAEMON.check_hang_up_while_reading_settings();
}

/// Guards against a program that ends when its settings are reloaded right after its start.
#[test]
fn a_hang_up_at_its_first_code_ends_no_process() {
    DAEMON.check_hang_up_at_program_start();
}

#[test]
fn help_and_refusals_of_arguments_are_as_they_were() {
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
fn what_it_cannot_start_with_has_its_exit_code() {
    let listening = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = listening.local_addr().expect("an address").to_string();
    let least = r#"{"member": "d", "place": "127.0.0.1:0", "door": "127.0.0.1:0", "locality": "north",
            "seeds": ["127.0.0.1:1"], "platform": "127.0.0.1:4"}"#;
    let file = DAEMON.write_file("start", least);
    let ready = DAEMON.write_file(
        "ready",
        &least.replace('}', r#", "ready": "192.0.2.1:8081"}"#),
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
