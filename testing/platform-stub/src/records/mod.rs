//! What really happened, a line of JSON each, on the machine's boot clock.

use common::clock::MonotonicTime;
use serde_json::{Value, json};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// A file of records.
pub struct Records {
    writer: Mutex<BufWriter<File>>,
}

impl Records {
    /// Makes the file anew.
    pub fn create(file: &Path) -> std::io::Result<Self> {
        Ok(Self {
            writer: Mutex::new(BufWriter::new(File::create(file)?)),
        })
    }

    /// Writes one record with the present moment.
    pub fn add(&self, kind: &str, mut detail: Value) {
        detail["kind"] = json!(kind);
        detail["at"] = json!(MonotonicTime::now().0);
        self.write(&detail);
    }

    /// Writes one record as it is.
    pub fn write(&self, record: &Value) {
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(writer, "{record}");
    }

    /// Brings everything to the file.
    pub fn flush(&self) {
        let _ = self
            .writer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .flush();
    }
}
