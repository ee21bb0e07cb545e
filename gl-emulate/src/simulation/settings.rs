//! Settings of a simulation run, with the faults that are injected.

use gl_jobs::owner;
use gl_model::time;

use crate::{fleet, load, worker};

/// A fault that is injected.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The owner's process is killed.
    KillOwner,
    /// The owner's address refuses the connections of the other daemons, as in a network that rejects
    /// them, and one of them claims the cell; the owner is not disturbed.
    RefuseOwner,
    /// The owner's daemon stops: it stores its decisions and releases the cell.
    ReleaseOwner,
    /// The owner's process is suspended for the given time, and resumes with its state unchanged.
    PauseOwner(time::Span),
    /// The store is unavailable for the given time.
    StoreOutage(time::Span),
    /// For the given time, the given share of the orders gets no reply and is carried out seconds
    /// later.
    DelayOrders(time::Span, f64),
    /// For the given time, half of the messages between owners and workers take up to the given time
    /// each. A call whose reply is late counts as lost, and is carried out.
    SlowCalls(time::Span, time::Span),
    /// For the given time, the given share of these calls to workers gets no reply. Those that are under way when
    /// the incarnation of their worker ends are carried out by the next one within three seconds of its start,
    /// also while it is partitioned, and the others by none.
    LateCalls(Calls, time::Span, f64),
    /// A worker has a fault for the given time.
    Worker(usize, time::Span, worker::Fault),
    /// A worker is down for the given time and restarts with the same identifier.
    CrashWorker(usize, time::Span),
    /// The entry of a running worker is missing from the directory for the given time.
    UnlistWorker(usize, time::Span),
    /// A worker is draining and terminates after the given time.
    DrainWorker(usize, time::Span),
    /// The owner and every third worker are partitioned from the store, the other workers and later
    /// owners for the given time, and reach each other.
    SplitOwner(time::Span),
    /// A worker that did not exist before starts.
    StartWorker(usize),
}

impl Fault {
    /// Returns whether this is planned work, during which long-running tasks have to keep running.
    pub const fn is_planned(&self) -> bool {
        matches!(self, Self::ReleaseOwner | Self::DrainWorker(..) | Self::StartWorker(_))
    }

    /// Returns the time for which the fault lasts, or after which its last effects occur.
    pub(super) const fn length(&self) -> time::Span {
        match self {
            Self::KillOwner | Self::RefuseOwner | Self::ReleaseOwner | Self::StartWorker(_) => {
                time::Span::ZERO
            }
            Self::DelayOrders(span, _) => time::Span(span.0 + MAX_ORDER_DELAY.0),
            Self::SlowCalls(span, slowest) => time::Span(span.0 + slowest.0),
            Self::LateCalls(_, span, _)
            | Self::PauseOwner(span)
            | Self::SplitOwner(span)
            | Self::StoreOutage(span)
            | Self::Worker(_, span, _)
            | Self::CrashWorker(_, span)
            | Self::UnlistWorker(_, span)
            | Self::DrainWorker(_, span) => *span,
        }
    }
}

/// Kinds of calls to workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Calls {
    /// All calls.
    All,
    /// Polls, with the ends that they acknowledge and the leases that they extend.
    Polls,
    /// All others.
    Orders,
}

/// The longest time after which a delayed order is carried out.
pub(super) const MAX_ORDER_DELAY: time::Span = time::Span::seconds(12);

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The time of the injection.
    pub at: time::Timestamp,
    /// The fault.
    pub fault: Fault,
}

/// Settings of a simulation run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The seed of the random number generator for delayed orders.
    pub seed: u64,
    /// The workers.
    pub workers: Vec<fleet::Spec>,
    /// The arriving jobs.
    pub arrivals: Vec<load::Arrival>,
    /// The faults, each with its time.
    pub faults: Vec<ScheduledFault>,
    /// The settings of the owners.
    pub owner: owner::Settings,
    /// The time that a new owner takes to load the stored state.
    pub load_time: time::Span,
    /// Whether the next incarnation of a worker carries out the calls that the last one has delayed.
    pub keeps_calls: bool,
    /// The longest time after which workers notice that their leases have expired. It is drawn for each lease.
    pub lapse_delay: time::Span,
    /// The factor by which tasks away from their rack or data take longer.
    pub remote_factor: f64,
    /// Mechanisms that are disabled, to show that they are necessary.
    pub disabled: Disabled,
    /// The trace filter: notes of owners whose text contains it are kept in the report.
    pub trace: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            workers: Vec::new(),
            arrivals: Vec::new(),
            faults: Vec::new(),
            owner: owner::Settings {
                horizon: time::Span::millis(7_200),
                ..owner::Settings::default()
            },
            load_time: time::Span::ZERO,
            keeps_calls: false,
            lapse_delay: time::Span::ZERO,
            remote_factor: 1.0,
            disabled: Disabled::default(),
            trace: None,
        }
    }
}

/// Mechanisms that are disabled in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Disabled {
    /// Workers do not refuse stale fencing tokens.
    pub fencing: bool,
    /// A new owner does not wait for runs that may still be in progress.
    pub recovery: bool,
    /// Ended runs are acknowledged before they are stored.
    pub store_before_ack: bool,
    /// A start order with a lost reply is treated as refused.
    pub lost_replies: bool,
    /// Start orders never expire.
    pub deadlines: bool,
}
