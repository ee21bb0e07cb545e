//! The frames that daemons exchange over the mesh.

use gl_meter::counts;
use gl_model::{config, daemon, route};
use gl_route::demand;

use crate::error::Error;

/// The largest frame that is accepted, in bytes.
pub const MAX_BYTES: usize = 16 << 20;

/// One frame.
#[gl_derive::domain]
pub enum Frame {
    /// The identity and the heartbeat of the sender. It is the first frame of a connection and is
    /// repeated with every heartbeat.
    Hello(daemon::Row),
    /// The accepted configuration with the highest number that the sender has received.
    Config(Box<config::Row>),
    /// The routes of a shard.
    Routes(route::Set),
    /// The sender's demand for each service.
    Demand(Vec<demand::Demand>),
    /// Counts of calls by service and minute.
    #[serde(rename = "tallies")]
    CallCounts(Vec<counts::Bucket>),
    /// A confirmed plan changed the jobs of shards, whose owners must read the jobs again.
    #[serde(rename = "jobs")]
    JobsChanged,
    /// The sender is shutting down.
    Bye,
}

/// Encodes a frame.
///
/// # Errors
///
/// Returns an error if the codec cannot serialise the frame.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let to_error = |e: ciborium::ser::Error<std::io::Error>| Error::Frame { detail: e.to_string() };
    ciborium::into_writer(frame, &mut bytes).map_err(to_error)?;
    Ok(bytes)
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns an error if the bytes are not a frame that this version supports.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let to_error = |e: ciborium::de::Error<std::io::Error>| Error::Frame { detail: e.to_string() };
    ciborium::from_reader(bytes).map_err(to_error)
}
