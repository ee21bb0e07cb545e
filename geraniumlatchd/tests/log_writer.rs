//! Guards against a log that blocks the daemon: nobody reads standard output, the pipe fills up,
//! and a blocking write would stop the only thread. Lines have to be dropped and counted instead.

#![allow(clippy::unwrap_used, reason = "tests")]

use std::{io, sync};

use geraniumlatchd::jobs::log_writer;
use gl_model::time;

/// A pipe that accepts a limited number of bytes and then would block.
#[derive(Clone, Default)]
struct Pipe(sync::Arc<sync::Mutex<State>>);

#[derive(Default)]
struct State {
    capacity: usize,
    written: Vec<u8>,
}

impl io::Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock().unwrap();
        if state.capacity == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let n = bytes.len().min(state.capacity);
        state.capacity -= n;
        state.written.extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Pipe {
    fn set_capacity(&self, bytes: usize) {
        self.0.lock().unwrap().capacity = bytes;
    }

    fn lines(&self) -> Vec<serde_json::Value> {
        let text = String::from_utf8(self.0.lock().unwrap().written.clone()).unwrap();
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

fn write(lines: &log_writer::JsonLines<Pipe>, n: u64) {
    let fields = format!("{{\"event\":\"test\",\"n\":{n}}}");
    lines.write("INFO", &fields, time::Timestamp(n * 1_000));
}

#[test]
fn lines_are_json_objects_with_time_daemon_and_level() {
    let pipe = Pipe::default();
    pipe.set_capacity(1 << 20);
    let lines = log_writer::JsonLines::new("d1", pipe.clone());
    write(&lines, 5);
    let expected = serde_json::json!(
        {"time_ms": 5, "daemon": "d1", "level": "INFO", "event": "test", "n": 5}
    );
    assert_eq!(pipe.lines(), [expected]);
}

#[test]
fn lines_for_a_blocked_reader_are_dropped_and_counted() {
    let pipe = Pipe::default();
    let lines = log_writer::JsonLines::new("d1", pipe.clone());
    for n in 0..10_000 {
        write(&lines, n);
    }
    let dropped = lines.dropped();
    assert!(dropped > 5_000, "{dropped}");
    pipe.set_capacity(1 << 20);
    write(&lines, 10_000);
    write(&lines, 10_001);
    let all = pipe.lines();
    let note = all.iter().find(|line| line["event"] == "lines-dropped").unwrap();
    assert_eq!(note["total"], dropped);
    assert_eq!(all.last().unwrap()["n"], 10_001);
}

#[test]
fn partial_writes_keep_lines_whole() {
    let pipe = Pipe::default();
    let lines = log_writer::JsonLines::new("d1", pipe.clone());
    for n in 0..50 {
        pipe.set_capacity(17);
        write(&lines, n);
    }
    pipe.set_capacity(1 << 20);
    write(&lines, 50);
    assert_eq!(pipe.lines().len(), 51);
}
