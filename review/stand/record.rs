//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &str) -> Result<Self, String> {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).map_err(|error| format!("{path}: {error}"))?;
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:10.1} {text}");
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
