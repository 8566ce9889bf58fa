//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the milliseconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
        }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.start).as_millis();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{ms:>6} {text}");
    }

    /// Writes a line of the summary, also to standard output.
    pub fn summary(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
