//! The daemon's clocks: the only place where the time for decisions and leases is read.

use std::time;

use gl_model::time as model;
use rustix::time as posix;

/// Returns the wall-clock time. The packages that make decisions get it as an argument.
pub fn now() -> model::Timestamp {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    model::Timestamp(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the time since the VM's start, including time during which it was suspended. Leases are
/// measured with this clock because it never jumps.
pub fn steady() -> model::Timestamp {
    let now = posix::clock_gettime(posix::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let micros = u64::try_from(now.tv_nsec).unwrap_or_default() / 1_000;
    model::Timestamp(model::Span::seconds(seconds).0 + micros)
}
