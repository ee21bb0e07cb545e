//! What daemons tell each other.

use gl_meter::counts;
use gl_model::{config, daemon, route};
use gl_route::demand;

use crate::error::Error;

/// The largest frame that is read, in bytes.
pub const MAX_BYTES: usize = 16 << 20;

/// One message.
#[gl_derive::domain]
pub enum Frame {
    /// Who dialled, and that it is alive. Sent first and with every heartbeat.
    Hello(daemon::Row),
    /// The highest accepted configuration that the sender knows.
    Config(Box<config::Row>),
    /// A shard's routes.
    Routes(route::Set),
    /// The sender's demand for each service.
    Demand(Vec<demand::Demand>),
    /// Counts of calls.
    #[serde(rename = "tallies")]
    CallCounts(Vec<counts::Bucket>),
    /// A confirmed plan changed the jobs of shards; their owners should look.
    #[serde(rename = "jobs")]
    JobsChanged,
    /// The sender stops.
    Bye,
}

/// Encodes a frame.
///
/// # Errors
///
/// If the codec refuses it.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    let refuse = |e: ciborium::ser::Error<std::io::Error>| Error::Frame { detail: e.to_string() };
    ciborium::into_writer(frame, &mut bytes).map_err(refuse)?;
    Ok(bytes)
}

/// Decodes a frame.
///
/// # Errors
///
/// If the bytes are no frame that this version knows.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    let refuse = |e: ciborium::de::Error<std::io::Error>| Error::Frame { detail: e.to_string() };
    ciborium::from_reader(bytes).map_err(refuse)
}
