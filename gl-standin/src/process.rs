//! Child processes that a test starts, pauses and kills.

use std::{io, io::BufRead as _, net, path, process, time};

/// A child process, which is killed when it is dropped.
pub struct Process {
    child: process::Child,
    /// The addresses that it printed at its start, in that order.
    pub addresses: Vec<net::SocketAddr>,
}

/// Returns the path of a program of this workspace, which must have been built into the folder of
/// the running test or example.
///
/// # Errors
///
/// Returns an error if the program is missing.
pub fn program_path(name: &str) -> io::Result<path::PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let candidates: Vec<path::PathBuf> =
        folders.flat_map(|f| [f.join(name), f.join("examples").join(name)]).collect();
    let missing = || {
        let message =
            format!("{name} is not built; run `cargo build --workspace --bins --examples`");
        io::Error::new(io::ErrorKind::NotFound, message)
    };
    candidates.into_iter().find(|path| path.is_file()).ok_or_else(missing)
}

fn parse_addresses(line: &str) -> Vec<net::SocketAddr> {
    let values = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    let values = values.filter(|(key, _)| *key == "listen" || *key == "mesh");
    values.flat_map(|(_, value)| value.split(',')).filter_map(|text| text.parse().ok()).collect()
}

impl Process {
    /// Starts a program and waits until it prints the line with its addresses. Its error output is
    /// appended to `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or ends before it prints its addresses.
    pub fn start(program: &path::Path, arguments: &[String], log: &path::Path) -> io::Result<Self> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut child = process::Command::new(program)
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(log)
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let mut line = String::new();
        io::BufReader::new(stdout).read_line(&mut line)?;
        let addresses = parse_addresses(&line);
        if addresses.is_empty() {
            let status = child.wait()?;
            return Err(io::Error::other(format!(
                "{} ended before it printed its addresses: {status}",
                program.display()
            )));
        }
        Ok(Self { child, addresses })
    }

    /// Starts a program whose output is appended to `log`, and returns immediately.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn spawn(
        program: &path::Path,
        arguments: &[String],
        environment: &[(String, String)],
        log: &path::Path,
    ) -> io::Result<Self> {
        let log_file = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = process::Command::new(program)
            .args(arguments)
            .envs(environment.iter().cloned())
            .stdin(process::Stdio::null())
            .stdout(log_file.try_clone()?)
            .stderr(log_file)
            .spawn()?;
        Ok(Self { child, addresses: Vec::new() })
    }

    /// Returns the first address, which serves requests.
    pub fn address(&self) -> net::SocketAddr {
        self.addresses[0]
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(pid) = pid {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Requests a graceful stop (`SIGTERM`).
    pub fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    /// Suspends the process until [`Process::resume()`].
    pub fn pause(&self) {
        self.signal(rustix::process::Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(rustix::process::Signal::CONT);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit code of a process that has ended, -1 after a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.code().unwrap_or(-1))
    }

    /// Waits until the process has ended and returns its exit code, or `None` after `timeout`.
    pub async fn wait_for_exit(&mut self, timeout: time::Duration) -> Option<i32> {
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            if let Some(code) = self.exit_code() {
                return Some(code);
            }
            ntex::time::sleep(time::Duration::from_millis(20)).await;
        }
        None
    }
}

/// The resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Processor time since the start of the process.
    pub cpu_time: time::Duration,
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// The largest resident memory so far, in kilobytes.
    pub peak_kb: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;

impl Process {
    /// Returns the resources that the process has used so far, read from `/proc`.
    pub fn resource_usage(&self) -> ResourceUsage {
        let read_file = |file: &str| {
            std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
        };
        let stat = read_file("stat");
        let after_command = stat.rsplit(')').next().unwrap_or("");
        let fields: Vec<u64> = after_command
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|f| f.parse().ok())
            .collect();
        let millis = fields.iter().sum::<u64>() * 1_000 / TICKS_PER_SECOND;
        let status = read_file("status");
        let kilobytes = |field: &str| {
            let rest = status.lines().find_map(|line| line.strip_prefix(field));
            rest.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
        };
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        ResourceUsage {
            cpu_time: time::Duration::from_millis(millis),
            resident_kb: kilobytes("VmRSS:"),
            peak_kb: kilobytes("VmHWM:"),
            descriptors: descriptors.map_or(0, Iterator::count),
        }
    }
}

/// Returns the bytes that have arrived on connections to a local port and were not read yet.
pub fn unread_bytes(port: u16) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, local_port) = fields.get(1)?.split_once(':')?;
        let is_local = u16::from_str_radix(local_port, 16).ok()? == port;
        let is_connected = *fields.get(3)? != LISTENING;
        let (_, received) = fields.get(4)?.split_once(':')?;
        let received = u64::from_str_radix(received, 16).ok()?;
        (is_local && is_connected).then_some(received)
    };
    table.lines().skip(1).filter_map(unread).sum()
}

/// The state of listening sockets in `/proc/net/tcp`, whose queue counts connections.
const LISTENING: &str = "0A";

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
