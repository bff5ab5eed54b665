//! What the command line says to a user.

#[path = "../../../testing/support/settings_file.rs"]
mod settings_file;

use settings_file::Binary;

const DAEMON: Binary = Binary { name: "rudderd", path: env!("CARGO_BIN_EXE_rudderd") };

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
    DAEMON.check_early_hang_up();
}
