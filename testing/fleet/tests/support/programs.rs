//! Finds the programs that the workspace builds.

use std::path::{Path, PathBuf};

/// Returns the folder of the workspace's programs, which is the parent of the folder of the test's own executable.
///
/// # Panics
/// Panics if the workspace is not built.
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
