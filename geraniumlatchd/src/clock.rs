//! The one place where the daemon reads the time.

use std::time;

use gl_model::time as model;

/// The present time, to be passed on to all that decides.
pub fn now() -> model::Timestamp {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    model::Timestamp(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
