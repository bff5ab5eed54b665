//! Deployed code reads no wall clock and blocks no thread to sleep.

use googletest::prelude::*;
use std::path::{Path, PathBuf};

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for listed in std::fs::read_dir(folder).expect("a folder") {
        let path = listed.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[gtest]
fn deployed_code_reads_no_wall_clock() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    let packages = ["crates/common", "crates/dataplane", "crates/controlplane"];
    let programs = [
        "programs/daemon",
        "programs/controller",
        "programs/rudderctl",
    ];
    for package in packages.iter().chain(&programs) {
        sources(&root.join(package).join("src"), &mut found);
    }
    verify_that!(found.len(), ge(80))?;
    let forbidden = [
        "SystemTime",
        "UNIX_EPOCH",
        "Instant::now",
        "ClockId::Realtime",
        "thread::sleep",
    ];
    for path in &found {
        let text = std::fs::read_to_string(path).expect("a source");
        for word in forbidden {
            verify_that!(text.contains(word), eq(false))
                .with_failure_message(|| format!("{word} in {}", path.display()))?;
        }
    }
    Ok(())
}
