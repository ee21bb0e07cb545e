//! Queues: the addresses at which clients submit jobs, and the services whose workers run them.

use gl_model::time;

use crate::job;

/// A queue.
#[gl_derive::domain]
pub struct Queue {
    /// The name.
    pub name: String,
    /// The host name that clients address.
    pub host: String,
    /// The path prefix of its requests.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// The service level of its jobs.
    pub policy: job::Policy,
    /// Set if an advice service decides which workers may run its jobs.
    pub advice: Option<job::AdvicePolicy>,
    /// The time limit of a request.
    pub timeout: time::Span,
}

/// All queues and limits of one version of the configuration.
#[gl_derive::domain]
pub struct Routing {
    /// The version, which grows with each change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The largest body of a request, in bytes.
    pub body_limit: usize,
}

/// Returns whether a daemon can tell at `now` that a queue does not exist, if it last knew the routing
/// to be the newest at `read_at`. A change of the routing is in force everywhere after `apply_time`, so
/// an older routing may lack a queue that callers rely on.
pub fn can_deny(
    read_at: Option<time::Timestamp>,
    apply_time: time::Span,
    now: time::Timestamp,
) -> bool {
    read_at.is_some_and(|read_at| now.since(read_at) < apply_time)
}

impl Routing {
    /// Returns the index of the queue of a request: of the queues of its host, the one with the longest
    /// matching prefix.
    pub fn position(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |q: &Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
        let fitting = self.queues.iter().enumerate().filter(|(_, queue)| fits(queue));
        fitting.max_by_key(|(_, queue)| queue.prefix.len()).map(|(index, _)| index)
    }
}
