//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Record in a file, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started_at: Instant::now(),
        })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }
}
