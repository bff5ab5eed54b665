//! The record of a run: what was sent, answered and run, a line each, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn line(&self, text: &str) {
        let now = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:10.1} ms  {text}");
    }
}
