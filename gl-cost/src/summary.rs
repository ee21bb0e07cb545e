//! What the owner of a cell tells the other daemons about scarcity.

use gl_model::time;

use crate::level;

/// The load of all services at one time.
#[gl_derive::domain]
#[derive(Default)]
pub struct Summary {
    /// The loads, one for each service and kind of tasks.
    pub loads: Vec<Load>,
    /// The time since the loads were sampled, when the summary was made.
    pub age: time::Span,
}

/// The load of one kind of a service's tasks.
#[gl_derive::domain]
pub struct Load {
    /// The service.
    pub service: String,
    /// The kind of tasks.
    pub kind: Kind,
    /// How scarce the capacity for them is.
    pub level: level::Level,
    /// The backlog, the rates and the free capacity.
    pub sample: level::Sample,
}

/// The kinds of tasks that compete for the same capacity.
#[gl_derive::tag]
pub enum Kind {
    /// Tasks that reserve processors.
    Short,
    /// Tasks that use processors that others leave idle.
    BestEffort,
}

impl Kind {
    /// Returns the name, as in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::BestEffort => "best-effort",
        }
    }
}

impl Summary {
    /// Returns the level of a service: that of the kind whose capacity is scarcest. An unknown service
    /// counts as ample.
    pub fn level(&self, service: &str) -> level::Level {
        let loads = self.loads.iter().filter(|load| load.service == service);
        loads.map(|load| load.level).max().unwrap_or_default()
    }
}

/// A summary in a reply to a request that was sent at a known time.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// The summary.
    pub summary: Summary,
    /// The time at which the request was sent, by the clock of the receiver.
    pub sent: time::Timestamp,
}

impl Received {
    /// Returns an upper bound of the time since the loads were sampled: the summary was made after
    /// the request was sent.
    pub fn age(&self, now: time::Timestamp) -> time::Span {
        self.summary.age + now.since(self.sent)
    }
}
