//! Stored rows of jobs and of the cell's owner, and their encoding.

use std::collections;

use gl_model::time;
use serde::de;

use crate::{bitset, job, task, worker};

/// The error returned by [`decode()`] and [`encode()`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error(
    "cannot read or write a stored {kind} ({detail}); check that all daemons run compatible versions"
)]
pub struct Error {
    /// The kind of row.
    pub kind: &'static str,
    /// The message of the codec.
    pub detail: String,
}

/// A row that a daemon writes when it accepts a request of a client.
#[gl_derive::domain]
pub enum Work {
    /// A job was accepted.
    Job(Box<job::Job>),
    /// The client has cancelled the job.
    Cancel,
}

/// The progress of a job, written only by the owner.
#[gl_derive::domain]
#[derive(Default)]
pub struct Progress {
    /// The final state, once the job has one.
    #[serde(rename = "end")]
    pub final_state: Option<job::State>,
    /// The phases with any progress.
    pub phases: Vec<Phase>,
}

impl Progress {
    /// Returns the progress of a phase of one occurrence, which is added if there is none.
    pub fn phase_mut(&mut self, occurrence: u32, phase: u32) -> &mut Phase {
        let is_phase = |p: &Phase| p.occurrence == occurrence && p.phase == phase;
        let position = self.phases.iter().position(is_phase).unwrap_or_else(|| {
            self.phases.push(Phase { occurrence, phase, ..Phase::default() });
            self.phases.len() - 1
        });
        &mut self.phases[position]
    }
}

/// The progress of a phase of one occurrence.
#[gl_derive::domain]
#[derive(Default)]
pub struct Phase {
    /// The occurrence.
    pub occurrence: u32,
    /// The phase's number.
    pub phase: u32,
    /// The tasks that are done.
    pub done: bitset::BitSet,
    /// The attempt numbers of the failed runs of each task. They distinguish a failure that is
    /// reported again after a change of owner from a new one.
    pub failures: collections::BTreeMap<u32, Vec<u64>>,
    /// The newest checkpoint of each task whose run ended before the task was done.
    pub checkpoints: collections::BTreeMap<u32, String>,
    /// The tasks that may have crashed a worker.
    #[serde(default, skip_serializing_if = "collections::BTreeMap::is_empty")]
    pub suspects: collections::BTreeMap<u32, Suspect>,
    /// The long-running tasks that have run. Earlier versions do not store them.
    #[serde(default, skip_serializing_if = "bitset::BitSet::is_empty")]
    pub started: bitset::BitSet,
    /// The start orders of each task that got no answer. Earlier versions do not store them.
    #[serde(default, skip_serializing_if = "collections::BTreeMap::is_empty")]
    pub unsettled: collections::BTreeMap<u32, Vec<UnsettledOrder>>,
}

/// Start orders of a task that got no answer.
#[gl_derive::domain]
pub struct UnsettledOrder {
    /// The worker.
    pub worker: worker::WorkerId,
    /// The time, by the store's clock, until which they may be carried out.
    pub until: time::Timestamp,
}

/// A task that may have crashed a worker.
#[gl_derive::domain]
#[derive(Default)]
pub struct Suspect {
    /// The attempt numbers of the runs during which a worker crashed.
    pub crashes: Vec<u64>,
    /// Those of them that no other task can have caused, and whose start the worker had confirmed.
    pub sole: Vec<u64>,
    /// Runs of which it is not known yet whether the worker crashed. A start of a task with crashes
    /// is stored here before it is ordered, so that a later owner learns how it ended.
    pub trials: Vec<Trial>,
}

/// A run that may have crashed its worker.
#[gl_derive::domain]
pub struct Trial {
    /// The attempt number.
    pub attempt: u64,
    /// The worker.
    pub worker: worker::WorkerId,
    /// The VM of the worker. After a crash it may have a worker of another name.
    pub vm: String,
    /// The incarnation of the worker.
    pub incarnation: worker::Incarnation,
    /// Whether a crash of the worker cannot have another cause among the tasks, as far as is known.
    pub is_sole: bool,
}

/// The owner of a cell.
#[gl_derive::domain]
pub struct Owner {
    /// The daemon's name.
    pub daemon: String,
    /// The address at which its peers reach it.
    pub mesh: std::net::SocketAddr,
    /// Distinguishes this claim from all others of the same daemon.
    pub claim: u64,
}

/// The lease of the owner, rewritten at each renewal.
#[gl_derive::domain]
pub struct Lease {
    /// The number of renewals by this owner.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// Whether the owner has released the cell.
    pub released: bool,
    /// The longest time that leases of workers may last after a renewal.
    pub horizon: time::Span,
    /// The longest time that they may last once the owner extends none any more; `None` if an earlier
    /// version of the program wrote the row.
    pub outstanding: Option<time::Span>,
    /// The longest time for which earlier owners may order starts after a renewal; `None` if an earlier
    /// version of the program wrote the row.
    pub earlier_starts: Option<time::Span>,
    /// The number of workers of the cell; `None` if the owner has not read it or an earlier version
    /// of the program wrote the row.
    pub workers: Option<usize>,
}

/// The daemons that may claim the cell while its owner cannot reach the store. Claims write the row as
/// well, so one that is older than the owner's row is of an earlier owner.
#[gl_derive::domain]
#[derive(Default)]
pub struct Claimants {
    /// Their names.
    pub daemons: collections::BTreeSet<String>,
}

/// The learned part of the interference model, stored for later owners.
#[gl_derive::domain]
#[derive(Default)]
pub struct ModelSnapshot {
    /// The pairs of images that have shared a worker.
    pub pairs: Vec<ImagePair>,
}

/// The observations of a long-running image that shared a worker with a best-effort image.
#[gl_derive::domain]
pub struct ImagePair {
    /// The long-running image.
    #[serde(rename = "lasting")]
    pub long_running: String,
    /// The best-effort image.
    #[serde(rename = "fill")]
    pub best_effort: String,
    /// The number of measurement windows, weighted by processor use and exponentially decayed.
    pub windows: f64,
    /// The best-effort image's total responsibility for the windows with interference, decayed in
    /// the same way.
    #[serde(rename = "harmed")]
    pub responsibility: f64,
}

/// A worker of the roster: tasks may have been started on it.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Enrolment {
    /// The worker, with the incarnation on which tasks may have been started.
    #[serde(flatten)]
    pub worker: worker::Registration,
    /// The time, by the store's clock, at which all leases have expired that the incarnation may have got by
    /// calls that were meant for an earlier one; `None` if it has got none. They may exceed those that
    /// owners grant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub carried_until: Option<time::Timestamp>,
}

impl Enrolment {
    /// Decodes a row. Earlier versions have stored the worker alone.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not encode a worker.
    pub fn decode(kind: &'static str, bytes: &[u8]) -> Result<Self, Error> {
        #[derive(serde::Deserialize)]
        struct Carried {
            #[serde(default)]
            carried_until: Option<time::Timestamp>,
        }
        // A flattened field cannot be decoded: it loses how the codec represents addresses.
        let worker = decode(kind, bytes)?;
        let Carried { carried_until } = decode(kind, bytes)?;
        Ok(Self { worker, carried_until })
    }
}

impl From<worker::Registration> for Enrolment {
    fn from(worker: worker::Registration) -> Self {
        Self { worker, carried_until: None }
    }
}

/// What is known of a worker of the roster that gets no new tasks until it is enrolled again.
#[gl_derive::domain]
pub struct Vacating {
    /// The worker.
    pub worker: worker::WorkerId,
    /// The only tasks that may run on it; `None` if any task may.
    pub tasks: Option<Vec<task::TaskId>>,
    /// The time, by the store's clock, at which all of its leases have expired; `None` while they
    /// are extended.
    pub until: Option<time::Timestamp>,
}

/// The last commit of the owner.
#[gl_derive::domain]
pub struct Commit {
    /// The owner's fencing token.
    pub token: u64,
    /// The number of commits that the owner has made.
    pub number: u64,
}

/// Encodes a row.
///
/// # Errors
///
/// Returns an error if the codec cannot encode it.
pub fn encode<T: serde::Serialize>(kind: &'static str, row: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(row, &mut bytes).map_err(|e| Error { kind, detail: e.to_string() })?;
    Ok(bytes)
}

/// Decodes a row.
///
/// # Errors
///
/// Returns an error if the bytes do not encode a row of this type.
pub fn decode<T: de::DeserializeOwned>(kind: &'static str, bytes: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|e| Error { kind, detail: e.to_string() })
}
