//! Where committed fixtures are, and whether they are being rewritten. Shared by the modules that compare forms
//! with fixtures: text (`forms.rs`), lists (`form_list.rs`) and directories (`form_folders.rs`).

use std::path::{Path, PathBuf};

/// With this variable set to 1, fixtures are rewritten, and every test that holds one fails all the same: no test
/// can pass by what it has just written.
pub(crate) const REWRITE_VARIABLE: &str = "RUDDERSTREAM_WRITE_FORMS";

/// Where a fixture of a crate is.
pub(crate) fn path(crate_folder: &str, fixture: &str) -> PathBuf {
    Path::new(crate_folder).join("tests/forms").join(fixture)
}

/// Whether fixtures are being rewritten. Panics if the variable has another value than 1, so that a mistake in it
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

/// What a test that has rewritten its fixture fails with.
pub(crate) fn rewritten_message(fixture: &Path) -> String {
    let fixture = fixture.display();
    format!("{fixture} was rewritten; check what changed, and run without {REWRITE_VARIABLE}")
}
