//! What was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::Mutex,
    time::Instant,
};

#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub worker: usize,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self { started: Instant::now(), file, runs: Mutex::default() })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>7} ms  {text}", self.now_ms());
    }

    pub fn started(
        &self,
        task: &str,
        attempt: u64,
        worker: usize,
        life: &str,
        token: u64,
    ) -> usize {
        self.note(&format!(
            "run {task} attempt {attempt} starts on worker {worker} ({life}), token {token}"
        ));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            task: task.to_owned(),
            attempt,
            worker,
            started_ms: self.now_ms(),
            ended_ms: None,
            how: "",
        });
        runs.len() - 1
    }

    pub fn ended(&self, run: usize, how: &'static str) {
        let mut runs = self.runs.lock().unwrap();
        let run = &mut runs[run];
        run.ended_ms = Some(self.now_ms());
        run.how = how;
        self.note(&format!(
            "run {} attempt {} ends on worker {}: {how}",
            run.task, run.attempt, run.worker
        ));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the pairs of runs of one task that have overlapped, with the overlap in milliseconds.
    pub fn overlaps(&self) -> Vec<(Run, Run, u64)> {
        let (runs, now) = (self.runs(), self.now_ms());
        let mut found = Vec::new();
        for (n, first) in runs.iter().enumerate() {
            for second in &runs[n + 1..] {
                let from = first.started_ms.max(second.started_ms);
                let to = first.ended_ms.unwrap_or(now).min(second.ended_ms.unwrap_or(now));
                if first.task == second.task && from < to {
                    found.push((first.clone(), second.clone(), to - from));
                }
            }
        }
        found
    }
}
