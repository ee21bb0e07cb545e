//! The division of a process's memory.

/// The memory of a VM where nothing states it, in bytes: that of the smallest VMs.
pub const ASSUMED: usize = 160 << 20;
/// The part of the memory for request bodies, as a divisor.
const BODY_SHARE: usize = 16;
/// The part of the memory for requests that are being stored, as a divisor.
const STORING_SHARE: usize = 16;
/// The part of the memory for accepted jobs, as a divisor.
const JOB_SHARE: usize = 5;

/// The part of the memory for calls, and for their responses, as a divisor.
const CALL_SHARE: usize = 4;

/// The largest amounts of memory that clients may occupy, by purpose, in bytes. The rest of the memory
/// is for connections and for what the process needs by itself. A process that serves calls has no jobs,
/// and one that serves jobs no calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Bodies of requests, until they are decoded.
    pub bodies: usize,
    /// Jobs that are being stored.
    pub storing: usize,
    /// Accepted jobs.
    pub jobs: usize,
    /// Bodies of calls, until they have their responses.
    pub calls: usize,
    /// Bodies of responses to calls, until they are sent.
    pub answers: usize,
}

impl Division {
    /// Divides `total` bytes.
    pub const fn new(total: usize) -> Self {
        let (bodies, storing) = (total / BODY_SHARE, total / STORING_SHARE);
        let (calls, answers) = (total / CALL_SHARE, total / CALL_SHARE);
        Self { bodies, storing, jobs: total / JOB_SHARE, calls, answers }
    }
}

impl Default for Division {
    fn default() -> Self {
        Self::new(ASSUMED)
    }
}
