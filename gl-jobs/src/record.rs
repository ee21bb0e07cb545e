//! What is stored of jobs, in the project's own encoding.

use std::collections;

use gl_model::time;
use serde::de;

use crate::{bitset, job};

/// The error returned by [`decode()`] and [`encode()`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error(
    "a stored {kind} can't be read or written ({detail}); check that all daemons' versions go together"
)]
pub struct Error {
    /// The kind of row.
    pub kind: &'static str,
    /// What the codec said.
    pub detail: String,
}

/// A row that a daemon writes when it accepts a client's request.
#[gl_derive::domain]
pub enum Work {
    /// A job was accepted.
    Job(Box<job::Job>),
    /// A job's client wants it to end.
    Cancel,
}

/// How far a job has come; written by the owner only.
#[gl_derive::domain]
#[derive(Default)]
pub struct Progress {
    /// The final state, once there is one.
    #[serde(rename = "end")]
    pub final_state: Option<job::State>,
    /// The phases of which anything is known.
    pub phases: Vec<Phase>,
}

/// How far a phase of one occurrence has come.
#[gl_derive::domain]
#[derive(Default)]
pub struct Phase {
    /// The occurrence.
    pub occurrence: u32,
    /// The phase's number.
    pub phase: u32,
    /// The tasks that are done.
    pub done: bitset::BitSet,
    /// The attempts of tasks that have failed. Attempts tell a failure that is listed again,
    /// after a change of owner, from a further one.
    pub failures: collections::BTreeMap<u32, Vec<u64>>,
    /// The newest checkpoint of tasks that have ended without being done.
    pub checkpoints: collections::BTreeMap<u32, String>,
}

/// Who owns a cell.
#[gl_derive::domain]
pub struct Owner {
    /// The daemon's name.
    pub daemon: String,
    /// Where its peers reach it.
    pub mesh: std::net::SocketAddr,
    /// Tells this claim from all others by the same daemon.
    pub claim: u64,
}

/// The owner's sign of life; rewritten with each renewal.
#[gl_derive::domain]
pub struct Lease {
    /// How often it was renewed by this owner.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// Whether the owner has given the cell up.
    pub released: bool,
    /// How long after a renewal leases of workers may last at most.
    pub horizon: time::Span,
}

/// What an owner has learnt from the reports of workers, for the next one.
#[gl_derive::domain]
#[derive(Default)]
pub struct ModelSnapshot {
    /// The pairs of images that were seen beside each other.
    pub pairs: Vec<ImagePair>,
}

/// What was seen of a lasting image beside a fill image.
#[gl_derive::domain]
pub struct ImagePair {
    /// The lasting image.
    #[serde(rename = "lasting")]
    pub long_running: String,
    /// The fill image.
    #[serde(rename = "fill")]
    pub best_effort: String,
    /// The windows of measurement that count, older ones less.
    pub windows: f64,
    /// The fill image's part of those in which the lasting image was harmed.
    #[serde(rename = "harmed")]
    pub responsibility: f64,
}

/// The owner's last commit.
#[gl_derive::domain]
pub struct Commit {
    /// The owner's fencing token.
    pub token: u64,
    /// How many commits the owner has made.
    pub number: u64,
}

/// Encodes a row.
///
/// # Errors
///
/// If the codec refuses it.
pub fn encode<T: serde::Serialize>(kind: &'static str, row: &T) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(row, &mut bytes).map_err(|e| Error { kind, detail: e.to_string() })?;
    Ok(bytes)
}

/// Decodes a row.
///
/// # Errors
///
/// If the bytes are no such row.
pub fn decode<T: de::DeserializeOwned>(kind: &'static str, bytes: &[u8]) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|e| Error { kind, detail: e.to_string() })
}
