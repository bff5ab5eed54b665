//! Compares folders that the sources write with committed ones.
//!
//! With `RUDDERSTREAM_WRITE_FORMS` set a committed folder is written anew where it differs, and the test fails all the
//! same, so that it can never pass by what it has just written. Some folders are made from others: run it twice.

use googletest::prelude::*;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// With this variable set, fixtures are written anew and every test that holds one fails.
const WRITE: &str = "RUDDERSTREAM_WRITE_FORMS";

/// A folder of the test's own, gone when the test ends.
pub struct Folder(pub PathBuf);

impl Folder {
    /// An empty one.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("rudder-forms-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    /// A copy of a committed folder, to be opened: opening writes.
    pub fn copy_of(fixture: &str, name: &str) -> Result<Self> {
        let folder = Self::new(name);
        fs::create_dir_all(&folder.0)?;
        for (file_name, file_bytes) in files_in(&fixture_path(fixture))? {
            fs::write(folder.0.join(file_name), file_bytes)?;
        }
        Ok(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn fixture_path(fixture: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/forms")
        .join(fixture)
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
    if !files_in(&fixture_path).is_ok_and(|held| held == *files) {
        let _ = fs::remove_dir_all(&fixture_path);
        fs::create_dir_all(&fixture_path)?;
        for (file_name, file_bytes) in files {
            fs::write(fixture_path.join(file_name), file_bytes)?;
        }
    }
    fail!(
        "{} is written anew; look at what changed, and run without {WRITE}",
        fixture_path.display()
    )
}

/// Succeeds only if a folder has the very files of the committed one that is made like it.
pub fn hold(fixture: &str, folder: &Path) -> Result<()> {
    if std::env::var_os(WRITE).is_some() {
        return write(fixture, &files_in(folder)?);
    }
    compare(fixture, folder)
}

/// Succeeds only if a folder has the very files of a committed one, byte by byte; an error while fixtures are written anew.
pub fn compare(fixture: &str, folder: &Path) -> Result<()> {
    if std::env::var_os(WRITE).is_some() {
        return fail!("fixtures are being written anew; run without {WRITE}");
    }
    let made = files_in(folder)?;
    let held = files_in(&fixture_path(fixture))?;
    let as_text = |file: Option<&Vec<u8>>| {
        file.map_or("nothing".to_owned(), |bytes| {
            String::from_utf8_lossy(bytes).into_owned()
        })
    };
    let mut file_names: Vec<&String> = held.keys().chain(made.keys()).collect();
    file_names.sort();
    file_names.dedup();
    let differences: Vec<String> = file_names
        .into_iter()
        .filter(|name| held.get(*name) != made.get(*name))
        .map(|name| {
            let (held_text, made_text) = (as_text(held.get(name)), as_text(made.get(name)));
            format!("file {name}:\n  held {held_text}\n  made {made_text}")
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
