//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record at `path`, replacing an earlier one.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Appends a line.
    pub fn line(&self, text: &str) {
        let ms = self.now().as_secs_f64() * 1_000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:10.1} ms  {text}");
    }

    /// Appends a line and prints it.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
