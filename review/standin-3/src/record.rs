//! What a case notes: `record.txt` in the folder of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self(Arc::new((Mutex::new(file), Instant::now())))
    }

    /// Notes a line with the time since the start.
    pub fn note(&self, text: &str) {
        let ms = self.0.1.elapsed().as_millis();
        let mut file = self.0.0.lock().expect("record");
        let _ = writeln!(file, "{ms:>6} ms  {text}");
    }
}
