//! Lists source files, for tests that check all of them.

use std::path::{Path, PathBuf};

/// Returns all Rust source files in a folder and its subfolders.
pub(crate) fn in_folder(folder: &Path) -> Vec<PathBuf> {
    let mut sources = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources.extend(in_folder(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(path);
        }
    }
    sources
}
