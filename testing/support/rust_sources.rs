//! The sources below a folder. Included by the tests that hold what all of them have in common.

use std::path::{Path, PathBuf};

/// Every file of Rust source in a folder and the folders in it.
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
