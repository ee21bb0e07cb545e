//! Times by two clocks.

use gl_model::time;

/// A point in time by the steady clock, with the corresponding time of day.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moment {
    /// The steady clock, which also counts the time during which the VM was suspended.
    pub now: time::Timestamp,
    /// The time of day on which the daemons agree.
    pub wall: time::Timestamp,
}
