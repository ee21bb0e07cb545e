//! The division of a process's memory.

/// The memory of a VM where nothing states it, in bytes: that of the smallest VMs.
pub const ASSUMED: usize = 160 << 20;
/// The part of the memory for request bodies, as a divisor.
const BODY_SHARE: usize = 8;

/// The largest amounts of memory that clients may occupy, by purpose, in bytes. The rest of the memory
/// is for connections and for what the process needs by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Division {
    /// Bodies of requests, until they are decoded.
    pub bodies: usize,
}

impl Division {
    /// Divides `total` bytes.
    pub const fn new(total: usize) -> Self {
        Self { bodies: total / BODY_SHARE }
    }
}

impl Default for Division {
    fn default() -> Self {
        Self::new(ASSUMED)
    }
}
