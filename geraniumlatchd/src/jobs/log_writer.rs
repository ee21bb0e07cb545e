//! Writes log lines to standard output without blocking on a slow reader.

use std::{io, sync};

use flexi_logger::writers;
use gl_model::time;
use parking_lot::Mutex;

/// Target of log records whose text is a JSON object already.
pub const EVENT_TARGET: &str = "event";
/// Maximum number of bytes buffered for a slow reader; further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// The error returned by [`start()`].
#[derive(Debug, thiserror::Error)]
#[error("cannot set up the log ({detail}); check that standard output is open")]
pub struct Error {
    detail: String,
}

/// Writer of lines of JSON that counts the lines that it drops.
pub struct JsonLines<W> {
    daemon: String,
    state: Mutex<State<W>>,
}

struct State<W> {
    out: W,
    buffer: Vec<u8>,
    dropped: u64,
    reported: u64,
}

/// Fields at the start of each line.
#[derive(serde::Serialize)]
struct Head<'a> {
    time_ms: u64,
    daemon: &'a str,
    level: &'a str,
}

/// Fields of a record that a library has logged.
#[derive(serde::Serialize)]
struct LibraryRecord<'a> {
    event: &'static str,
    target: &'a str,
    text: String,
}

impl<W: io::Write> JsonLines<W> {
    /// Creates the writer of a daemon. `out` must return [`io::ErrorKind::WouldBlock`] instead of
    /// blocking.
    pub fn new(daemon: &str, out: W) -> Self {
        let state = State { out, buffer: Vec::new(), dropped: 0, reported: 0 };
        Self { daemon: daemon.to_owned(), state: Mutex::new(state) }
    }

    /// Writes a line that consists of the head and the fields of the JSON object `fields`. Drops
    /// the line if the buffer is full.
    pub fn write(&self, level: &str, fields: &str, now: time::Timestamp) {
        let time_ms = now.since(time::Timestamp(0)).as_millis();
        let head = Head { time_ms, daemon: &self.daemon, level };
        let Ok(mut line) = serde_json::to_string(&head) else {
            return;
        };
        line.pop();
        line.push(',');
        line.push_str(fields.strip_prefix('{').unwrap_or(fields));
        line.push('\n');
        let mut state = self.state.lock();
        state.flush();
        if state.buffer.len() + line.len() > MAX_BUFFERED_BYTES {
            state.dropped += 1;
            return;
        }
        if state.dropped > state.reported && state.buffer.is_empty() {
            state.reported = state.dropped;
            let note = format!(
                "{{\"time_ms\":{time_ms},\"level\":\"WARN\",\"event\":\"lines-dropped\",\"total\":{}}}\n",
                state.dropped
            );
            state.buffer.extend_from_slice(note.as_bytes());
        }
        state.buffer.extend_from_slice(line.as_bytes());
        state.flush();
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.state.lock().dropped
    }
}

impl<W: io::Write> State<W> {
    /// Writes as much of the buffer as possible without blocking.
    fn flush(&mut self) {
        while !self.buffer.is_empty() {
            match self.out.write(&self.buffer) {
                Ok(0) => return,
                Ok(n) => drop(self.buffer.drain(..n)),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // Usually the reader has closed the pipe. The error cannot be reported elsewhere.
                Err(_) => {
                    self.dropped += 1;
                    self.buffer.clear();
                    return;
                }
            }
        }
    }
}

/// Standard output in non-blocking mode.
struct Stdout;

impl io::Write for Stdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(rustix::stdio::stdout(), bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer of this process, shared by the logger and the metrics.
#[derive(Clone)]
struct SharedLines(sync::Arc<JsonLines<Stdout>>);

impl writers::LogWriter for SharedLines {
    fn write(&self, _: &mut flexi_logger::DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let now = crate::clock::now();
        let level = record.level().as_str();
        if record.target() == EVENT_TARGET {
            self.0.write(level, &record.args().to_string(), now);
            return Ok(());
        }
        let target = record.target();
        let text = record.args().to_string();
        let fields = serde_json::to_string(&LibraryRecord { event: "library", target, text })?;
        self.0.write(level, &fields, now);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Handle that keeps the logger running and gives the number of dropped lines.
#[derive(Clone)]
pub struct Log {
    lines: SharedLines,
    _handle: flexi_logger::LoggerHandle,
}

impl Log {
    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.lines.0.dropped()
    }
}

/// Starts the logger of a daemon.
///
/// # Errors
///
/// If standard output cannot be set to non-blocking mode, or the process has a logger already.
pub fn start(daemon: &str) -> Result<Log, Error> {
    let fail = |detail: String| Error { detail };
    let stdout = rustix::stdio::stdout();
    let flags = rustix::fs::fcntl_getfl(stdout).map_err(|e| fail(e.to_string()))?;
    rustix::fs::fcntl_setfl(stdout, flags | rustix::fs::OFlags::NONBLOCK)
        .map_err(|e| fail(e.to_string()))?;
    let lines = SharedLines(sync::Arc::new(JsonLines::new(daemon, Stdout)));
    let logger =
        flexi_logger::Logger::try_with_str("warn, event=info").map_err(|e| fail(e.to_string()))?;
    let logger = logger.log_to_writer(Box::new(lines.clone()));
    let handle = logger.start().map_err(|e| fail(e.to_string()))?;
    Ok(Log { lines, _handle: handle })
}
