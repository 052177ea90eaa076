//! The record of a run: what was sent, answered and run, with the time since the start in seconds.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &std::path::Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            out: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    pub fn line(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{at:8.3} {line}");
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
