//! Queues: where clients submit jobs, and which service's workers run them.

use gl_model::time;

use crate::job;

/// A queue.
#[gl_derive::domain]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that clients address.
    pub host: String,
    /// What the path of its requests begins with.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// What its jobs are promised.
    pub policy: job::Policy,
    /// Set if another service decides which workers may run its jobs.
    pub advice: Option<job::AdvicePolicy>,
    /// How long a request may take.
    pub timeout: time::Span,
}

/// All queues and limits of one version of the configuration.
#[gl_derive::domain]
pub struct Routing {
    /// The version; it grows with each change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The largest body of a request, in bytes.
    pub body_limit: usize,
}

impl Routing {
    /// The queue that a request goes to: the host's longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix);
        self.queues.iter().filter(fits).max_by_key(|q| q.prefix.len())
    }
}
