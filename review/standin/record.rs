//! The record of a case: what was sent, answered and run.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// The start of a run on a worker.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: u64,
    pub worker: String,
    pub task: String,
    pub attempt: u64,
}

/// The end of a run on a worker. `number` is that of the end in this life of the worker.
#[derive(Clone, Debug)]
pub struct End {
    pub at: u64,
    pub worker: String,
    pub life: u64,
    pub number: u64,
    pub task: String,
    pub attempt: u64,
    pub how: &'static str,
}

#[derive(Default)]
pub struct Events {
    pub starts: Vec<Start>,
    pub ends: Vec<End>,
    /// The highest acknowledged end, by worker and life.
    pub acks: BTreeMap<(String, u64), u64>,
}

pub struct Record {
    begun: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
    pub events: Mutex<Events>,
}

impl Record {
    pub fn new(path: &std::path::Path) -> std::io::Result<Self> {
        let file = Mutex::new(std::io::BufWriter::new(std::fs::File::create(path)?));
        Ok(Self { begun: Instant::now(), file, events: Mutex::default() })
    }

    /// Returns the time since the start of the case, in milliseconds.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:>7} {text}");
    }

    /// Writes a line that is also shown to the caller of the script.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{:>7} {text}", self.now());
        self.flush();
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }

    pub fn start(&self, start: Start) {
        self.line(&format!("{} start {} attempt {}", start.worker, start.task, start.attempt));
        self.events.lock().unwrap().starts.push(start);
    }

    pub fn end(&self, end: End) {
        self.line(&format!(
            "{} end {} {} attempt {} {}",
            end.worker, end.number, end.task, end.attempt, end.how
        ));
        self.events.lock().unwrap().ends.push(end);
    }

    pub fn ack(&self, worker: &str, life: u64, cursor: u64) {
        let mut events = self.events.lock().unwrap();
        let known = events.acks.entry((worker.to_owned(), life)).or_default();
        if cursor > *known {
            *known = cursor;
            drop(events);
            self.line(&format!("{worker} ack {cursor}"));
        }
    }

    /// Returns whether an end was taken note of.
    pub fn is_acked(events: &Events, end: &End) -> bool {
        let acked = events.acks.get(&(end.worker.clone(), end.life));
        acked.is_some_and(|cursor| *cursor >= end.number)
    }
}
