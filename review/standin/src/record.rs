//! What was sent, answered and run, as lines of `record.txt`.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = std::fs::File::create(path)?;
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(std::io::BufWriter::new(file)),
        })
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(|err| err.into_inner());
        let _ = writeln!(file, "{:8.3} {text}", self.now());
    }

    /// A line that is printed, too.
    pub fn note(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.line(text);
        let mut file = self.file.lock().unwrap_or_else(|err| err.into_inner());
        let _ = file.flush();
    }
}
