//! The record of a run: what was sent, answered and run, in order of time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// Writes lines to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(dir: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Mutex::new(File::create(dir.join("record.txt"))?),
            start: Instant::now(),
        })
    }

    /// Writes a line that begins with the time of now.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line that begins with the time `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The record only helps to read a run; its verdict is the exit status.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
