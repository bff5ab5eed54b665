//! Deployed code reads the time only from `common::clock`, and puts no thread to sleep.
//!
//! The wall clock can jump, and `Instant` does not count the time during which the machine is suspended.

#[path = "../../../testing/support/rust_sources.rs"]
mod rust_sources;

use googletest::prelude::*;
use std::path::{Path, PathBuf};

#[gtest]
fn deployed_code_reads_no_wall_clock() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let packages = ["crates/common", "crates/dataplane", "crates/controlplane"];
    let programs = [
        "programs/daemon",
        "programs/controller",
        "programs/rudderctl",
    ];
    let found: Vec<PathBuf> = packages
        .iter()
        .chain(&programs)
        .flat_map(|package| rust_sources::in_folder(&root.join(package).join("src")))
        .collect();
    // Fails if folders have moved, so that the test would check too little.
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
