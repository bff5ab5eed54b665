//! The paths of committed fixtures, and the mode in which tests rewrite them. Shared by the modules that compare output
//! with fixtures: text (`forms.rs`), lists (`form_list.rs`) and directories (`form_folders.rs`).

use std::path::{Path, PathBuf};

/// If this variable is set to 1, tests rewrite their fixtures and then fail, so that no test can pass against a fixture
/// that it has just written.
pub(crate) const REWRITE_VARIABLE: &str = "RUDDERSTREAM_WRITE_FORMS";

/// Returns the path of a fixture of a crate.
pub(crate) fn path(crate_folder: &str, fixture: &str) -> PathBuf {
    Path::new(crate_folder).join("tests/forms").join(fixture)
}

/// Whether fixtures are being rewritten. Panics if the variable is set to anything but 1, so that a typing mistake
/// neither rewrites fixtures nor lets a test pass.
pub(crate) fn are_rewritten() -> bool {
    let Some(value) = std::env::var_os(REWRITE_VARIABLE) else {
        return false;
    };
    assert!(
        value == "1",
        "{REWRITE_VARIABLE} is {value:?}; it must be 1 or unset"
    );
    true
}

/// Returns the failure message of a test that has rewritten its fixture.
pub(crate) fn rewritten_message(fixture: &Path) -> String {
    let fixture = fixture.display();
    format!("{fixture} was rewritten; review the changes, then run without {REWRITE_VARIABLE}")
}
