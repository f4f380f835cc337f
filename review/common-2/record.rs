//! The record of a case: what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The file `record.txt`, shared by all threads of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.elapsed().as_secs_f64(), text.as_ref());
        self.line(text);
    }
}
