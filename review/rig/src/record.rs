//! What was sent, answered and run, with times in milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record"))),
        }
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.now(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
