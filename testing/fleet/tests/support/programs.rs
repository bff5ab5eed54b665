//! The folder of the programs that the workspace builds.

use std::path::{Path, PathBuf};

/// Where the workspace puts its programs: the folder above that of the test's own executable.
///
/// # Panics
/// If the workspace is not built.
pub(crate) fn programs() -> PathBuf {
    let own_path = std::env::current_exe().expect("a path");
    let folder = own_path
        .parent()
        .and_then(Path::parent)
        .expect("a folder")
        .to_owned();
    assert!(
        folder.join("rudderd").exists(),
        "build the workspace first: cargo build --workspace"
    );
    folder
}
