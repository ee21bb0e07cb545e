//! What operators ask for.

use crate::{id, size};

/// The intents of one file.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The intents, planned together.
    pub intents: Vec<Intent>,
}

/// One intent.
#[gl_derive::domain]
pub enum Intent {
    /// A service that must answer in time.
    Service(Service),
    /// Work that must be done by a point in time.
    Batch(Batch),
    /// A stretch of time in which a service needs more room.
    Season(Season),
}

/// A service that must answer in time.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: id::JobId,
    /// The team that it counts against.
    pub team: id::TeamId,
    /// The kind that the interference model knows its tasks by.
    pub kind: id::KindId,
    /// How many tasks run.
    pub replicas: u32,
    /// What one task needs.
    pub size: size::Size,
    /// The time within which a call should be answered, in milliseconds.
    pub deadline_ms: u64,
    /// The share of calls that must be whole within the deadline, from 0 to 1.
    pub objective: f64,
    /// How many evictions of batch tasks a confirm grants for keeping the service in time.
    #[serde(default)]
    pub relief: u32,
}

/// Work that must be done by a point in time.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The job's name.
    pub name: id::JobId,
    /// The team that it counts against.
    pub team: id::TeamId,
    /// The kind that the interference model knows its tasks by.
    pub kind: id::KindId,
    /// How many tasks there are.
    pub tasks: u32,
    /// What one task needs.
    pub size: size::Size,
    /// The declared run time of one task, in seconds.
    pub run_s: u64,
    /// How often one task may be evicted.
    #[serde(default = "default_evictions")]
    pub evictions: u32,
    /// When all tasks should be done, in seconds since the Unix epoch.
    #[serde(default)]
    pub due_unix_s: Option<u64>,
}

const fn default_evictions() -> u32 {
    3
}

/// A stretch of time in which a service needs more room.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Season {
    /// The season's name.
    pub name: id::JobId,
    /// The service that needs more room.
    pub service: id::JobId,
    /// How many tasks run beside the service's own.
    pub replicas: u32,
    /// How long before each start room is freed, in minutes.
    pub lead_min: u64,
    /// The dates of each year.
    pub dates: Vec<Dates>,
}

/// The dates of a season in one year.
#[gl_derive::domain]
#[serde(deny_unknown_fields)]
pub struct Dates {
    /// The first moment, in seconds since the Unix epoch.
    pub from_unix_s: u64,
    /// The end, in seconds since the Unix epoch.
    pub to_unix_s: u64,
}

impl Intent {
    /// The name of the job that the intent makes.
    pub const fn name(&self) -> &id::JobId {
        match self {
            Self::Service(i) => &i.name,
            Self::Batch(i) => &i.name,
            Self::Season(i) => &i.name,
        }
    }
}
