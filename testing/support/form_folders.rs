//! Compares directories that the code under test writes with committed fixtures.
//!
//! While fixtures are being rewritten, a fixture is written only if it differs. Some fixtures are derived from others, so
//! rewriting takes two runs.

#[path = "fixtures.rs"]
mod fixtures;

use googletest::prelude::*;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const CRATE_FOLDER: &str = env!("CARGO_MANIFEST_DIR");

/// A temporary directory of the test, which is removed on drop.
pub(crate) struct TempDirectory(pub(crate) PathBuf);

impl TempDirectory {
    /// Returns the path of a directory that does not exist yet.
    pub(crate) fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("rudder-forms-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    /// Creates a writable copy of a fixture.
    pub(crate) fn copy_of(fixture: &str, name: &str) -> Result<Self> {
        let folder = Self::new(name);
        fs::create_dir_all(&folder.0)?;
        for (file_name, file_bytes) in files_in(&fixture_path(fixture))? {
            fs::write(folder.0.join(file_name), file_bytes)?;
        }
        Ok(folder)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn fixture_path(fixture: &str) -> PathBuf {
    fixtures::path(CRATE_FOLDER, fixture)
}

fn files_in(folder: &Path) -> Result<BTreeMap<String, Vec<u8>>> {
    let mut files = BTreeMap::new();
    for listed in fs::read_dir(folder)? {
        let path = listed?.path();
        let file_name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or_default();
        files.insert(file_name.to_owned(), fs::read(&path)?);
    }
    Ok(files)
}

fn write(fixture: &str, files: &BTreeMap<String, Vec<u8>>) -> Result<()> {
    let fixture_path = fixture_path(fixture);
    if !files_in(&fixture_path).is_ok_and(|committed| committed == *files) {
        let _ = fs::remove_dir_all(&fixture_path);
        fs::create_dir_all(&fixture_path)?;
        for (file_name, file_bytes) in files {
            fs::write(fixture_path.join(file_name), file_bytes)?;
        }
    }
    fail!("{}", fixtures::rewritten_message(&fixture_path))
}

/// Succeeds only if a directory has exactly the files of a fixture, byte for byte. While fixtures are being rewritten,
/// writes the fixture and fails.
pub(crate) fn check(fixture: &str, folder: &Path) -> Result<()> {
    if fixtures::are_rewritten() {
        return write(fixture, &files_in(folder)?);
    }
    compare(fixture, folder)
}

/// Succeeds only if a directory has exactly the files of a fixture, byte for byte. Fails while fixtures are being
/// rewritten.
pub(crate) fn compare(fixture: &str, folder: &Path) -> Result<()> {
    if fixtures::are_rewritten() {
        return fail!(
            "fixtures are being rewritten; run without {}",
            fixtures::REWRITE_VARIABLE
        );
    }
    let actual = files_in(folder)?;
    let expected = files_in(&fixture_path(fixture))?;
    let as_text = |file: Option<&Vec<u8>>| {
        file.map_or("(no file)".to_owned(), |bytes| {
            String::from_utf8_lossy(bytes).into_owned()
        })
    };
    let mut file_names: Vec<&String> = expected.keys().chain(actual.keys()).collect();
    file_names.sort();
    file_names.dedup();
    let differences: Vec<String> = file_names
        .into_iter()
        .filter(|name| expected.get(*name) != actual.get(*name))
        .map(|name| {
            let (expected_text, actual_text) =
                (as_text(expected.get(name)), as_text(actual.get(name)));
            format!("file {name}:\n  expected {expected_text}\n  actual {actual_text}")
        })
        .collect();
    if differences.is_empty() {
        return Ok(());
    }
    fail!(
        "{fixture}: {} files differ\n{}",
        differences.len(),
        differences.join("\n")
    )
}
