//! Intents: the services and batch jobs that operators declare.

use crate::{id, size};

/// The intents of one file.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The intents, which are planned together.
    pub intents: Vec<Intent>,
}

/// One intent.
#[gl_derive::domain]
pub enum Intent {
    /// A service whose calls have a deadline.
    Service(Service),
    /// A batch job, optionally with a due time.
    Batch(Batch),
    /// A period in which a service needs additional tasks.
    Season(Season),
}

/// A service whose calls have a deadline.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: id::JobId,
    /// The team whose quota it counts against.
    pub team: id::TeamId,
    /// The kind of its tasks in the interference model.
    pub kind: id::KindId,
    /// The number of tasks.
    pub replicas: u32,
    /// The capacity that one task needs.
    pub size: size::Size,
    /// The deadline of a call, in milliseconds.
    pub deadline_ms: u64,
    /// The share of calls that must complete within the deadline, from 0 to 1.
    pub objective: f64,
    /// The number of evictions of batch tasks that a confirmation grants for keeping the service
    /// within its deadline.
    #[serde(default)]
    pub relief: u32,
}

/// A batch job, optionally with a due time.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The job's name.
    pub name: id::JobId,
    /// The team whose quota it counts against.
    pub team: id::TeamId,
    /// The kind of its tasks in the interference model.
    pub kind: id::KindId,
    /// The number of tasks.
    pub tasks: u32,
    /// The capacity that one task needs.
    pub size: size::Size,
    /// The declared run time of one task, in seconds.
    pub run_s: u64,
    /// The number of times that one task may be evicted.
    #[serde(default = "default_evictions")]
    pub evictions: u32,
    /// The time by which all tasks should be done, in seconds since the Unix epoch.
    #[serde(default)]
    pub due_unix_s: Option<u64>,
}

const fn default_evictions() -> u32 {
    3
}

/// A period in which a service needs additional tasks.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Season {
    /// The season's name.
    pub name: id::JobId,
    /// The service that needs additional tasks.
    pub service: id::JobId,
    /// The number of additional tasks.
    pub replicas: u32,
    /// The time before each start at which freeing of capacity begins, in minutes.
    pub lead_min: u64,
    /// The start and end in each year.
    pub dates: Vec<Dates>,
}

/// The start and end of a season in one year.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Dates {
    /// The start, in seconds since the Unix epoch.
    pub from_unix_s: u64,
    /// The end (exclusive), in seconds since the Unix epoch.
    pub to_unix_s: u64,
}

impl Intent {
    /// Returns the name of the job that the intent declares.
    pub const fn name(&self) -> &id::JobId {
        match self {
            Self::Service(i) => &i.name,
            Self::Batch(i) => &i.name,
            Self::Season(i) => &i.name,
        }
    }
}
