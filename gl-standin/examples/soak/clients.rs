//! Clients that submit jobs and query them, on connections that they keep open.

use std::{cell, collections, net, rc, time::Duration};

use gl_standin::fleet::client;
use rand::{Rng as _, SeedableRng as _, rngs};
use serde_json::json;

/// An accepted job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The names of its tasks.
    pub tasks: Vec<String>,
    /// Whether its tasks never end.
    pub is_long_running: bool,
}

/// What the clients share.
#[derive(Default)]
pub struct Shared {
    /// The accepted jobs.
    pub accepted: cell::RefCell<collections::BTreeMap<u64, Job>>,
    /// The number of requests that were refused, or got no response.
    pub refused: cell::Cell<u64>,
    /// Whether the clients should end.
    pub is_over: cell::Cell<bool>,
    next: cell::Cell<u64>,
}

/// A client of a failure domain.
pub struct Client {
    /// What it shares with the others.
    pub shared: rc::Rc<Shared>,
    /// The daemons of its failure domain.
    pub daemons: Vec<net::SocketAddr>,
    /// The average time between two jobs.
    pub interval: Duration,
    /// The long-running tasks that it submits first.
    pub long_running: usize,
    /// One in so many jobs has many tasks at once, of [`WIDE_WORK_MS`] each; none if zero.
    pub wide_one_in: u32,
    /// Whether all other jobs have two phases, and a third of them tasks of [`LONG_WORK_MS`].
    pub has_two_phases: bool,
    /// The seed of its choices.
    pub seed: u64,
}

/// The tasks of a long-running job.
const LONG_RUNNING_TASKS: usize = 10;
/// The tasks of a wide job, which start at once.
const WIDE_TASKS: std::ops::RangeInclusive<usize> = 27..=60;
/// The run time of these tasks.
const WIDE_WORK_MS: u64 = 15_000;
/// The run time of the long tasks of jobs of two phases.
const LONG_WORK_MS: std::ops::Range<u64> = 7_000..16_000;
/// The pause before a request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// A job's request.
struct Request {
    id: u64,
    body: String,
    job: Job,
}

impl Client {
    /// Submits and queries jobs until the series is over.
    pub async fn run(mut self) {
        let mut random = rngs::SmallRng::seed_from_u64(self.seed);
        let connection = client::Client::new().await;
        let mut left = self.long_running;
        while !self.shared.is_over.get() {
            let request = if left > 0 {
                let count = left.min(LONG_RUNNING_TASKS);
                left -= count;
                self.request(&[count], "{\"lasting\":true}", true)
            } else {
                let pause = self.interval.mul_f64(random.random_range(0.2..1.8));
                ntex::time::sleep(pause).await;
                self.random_request(&mut random)
            };
            self.submit(&connection, request).await;
            let last = self.shared.next.get();
            let path = job_path(random.random_range(0..last.max(1)));
            let _ = connection.send(self.daemons[0], "GET", &path, "").await;
        }
    }

    fn random_request(&self, random: &mut rngs::SmallRng) -> Request {
        if self.wide_one_in > 0 && random.random_ratio(1, self.wide_one_in) {
            let spec = json!({"work-ms": WIDE_WORK_MS}).to_string();
            return self.request(&[random.random_range(WIDE_TASKS)], &spec, false);
        }
        if self.has_two_phases {
            return self.two_phases(random);
        }
        let work_ms = match random.random_range(0..10) {
            0..6 => random.random_range(100..2_000),
            _ => random.random_range(5_000..25_000),
        };
        let first = random.random_range(1..9);
        let has_second = work_ms < 2_000 && random.random_bool(0.3);
        let counts = if has_second { vec![first, random.random_range(1..9)] } else { vec![first] };
        self.request(&counts, &json!({"work-ms": work_ms}).to_string(), false)
    }

    fn two_phases(&self, random: &mut rngs::SmallRng) -> Request {
        let is_long = random.random_ratio(1, 3);
        let work_ms = random.random_range(if is_long { LONG_WORK_MS } else { 100..2_000 });
        let counts = [random.random_range(1..9), random.random_range(1..9)];
        self.request(&counts, &json!({"work-ms": work_ms}).to_string(), false)
    }

    /// Returns a job with phases of these numbers of tasks, each after the one before.
    fn request(&self, counts: &[usize], spec: &str, is_long_running: bool) -> Request {
        let id = self.shared.next.get();
        self.shared.next.set(id + 1);
        let phase = |(n, count): (usize, &usize)| {
            let after: Vec<usize> = n.checked_sub(1).into_iter().collect();
            json!({"Count": count, "Cpu": 500, "MemMb": 100, "After": after, "LongRunning": is_long_running})
        };
        let phases: Vec<_> = counts.iter().enumerate().map(phase).collect();
        let body = json!({"Spec": spec, "Phases": phases}).to_string();
        let of_phase = |(phase, count): (usize, &usize)| {
            (0..*count).map(move |index| format!("{id:016x}.0.{phase}.{index}"))
        };
        let tasks = counts.iter().enumerate().flat_map(of_phase).collect();
        Request { id, body, job: Job { tasks, is_long_running } }
    }

    /// Sends a request until the job is accepted, to another daemon after each failure.
    async fn submit(&mut self, connection: &client::Client, request: Request) {
        while !self.shared.is_over.get() {
            let path = job_path(request.id);
            let response = connection.send(self.daemons[0], "POST", &path, &request.body).await;
            if response.is_some_and(|response| response.status == 200) {
                self.shared.accepted.borrow_mut().insert(request.id, request.job);
                return;
            }
            self.shared.refused.set(self.shared.refused.get() + 1);
            self.daemons.rotate_left(1);
            ntex::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn job_path(id: u64) -> String {
    format!("/book/{id:016x}")
}
