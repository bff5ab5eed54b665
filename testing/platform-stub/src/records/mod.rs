//! Record files: one JSON object per line, with times of the monotonic clock in nanoseconds.

use common::clock::MonotonicTime;
use serde_json::{Value, json};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// A record file that several tasks may write to.
pub struct Records {
    writer: Mutex<BufWriter<File>>,
}

impl Records {
    /// Creates the file, or truncates it.
    ///
    /// # Errors
    /// Fails if the file cannot be created.
    pub fn create(file: &Path) -> std::io::Result<Self> {
        Ok(Self {
            writer: Mutex::new(BufWriter::new(File::create(file)?)),
        })
    }

    /// Writes a record of the given kind with the current time. Records that cannot be written are dropped.
    pub fn add(&self, kind: &str, mut detail: Value) {
        detail["kind"] = json!(kind);
        detail["at"] = json!(MonotonicTime::now().0);
        self.write(&detail);
    }

    /// Writes a record unchanged. Records that cannot be written are dropped.
    pub fn write(&self, record: &Value) {
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(writer, "{record}");
    }

    /// Writes buffered records to the file.
    pub fn flush(&self) {
        let _ = self
            .writer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .flush();
    }
}
