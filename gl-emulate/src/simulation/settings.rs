//! What is played, and what goes wrong in it.

use gl_jobs::owner;
use gl_model::time;

use crate::{fleet, load, worker};

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The owner's process is killed.
    KillOwner,
    /// The owner stands still for a while, and goes on as if nothing had happened.
    PauseOwner(time::Span),
    /// The store does nothing for a while.
    StoreOutage(time::Span),
    /// A share of the orders gets no answer and is carried out seconds later.
    DelayOrders(time::Span, f64),
    /// A worker is in trouble for a while.
    Worker(usize, time::Span, worker::Fault),
    /// A worker is down for a while and comes back under its name.
    CrashWorker(usize, time::Span),
    /// A worker's entry is missing from the list for a while, though it lives.
    UnlistWorker(usize, time::Span),
    /// A worker is about to leave, and is gone after the span.
    DrainWorker(usize, time::Span),
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When.
    pub at: time::Timestamp,
    /// What.
    pub fault: Fault,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The seed of delays and losses.
    pub seed: u64,
    /// The workers.
    pub workers: Vec<fleet::Spec>,
    /// The jobs.
    pub arrivals: Vec<load::Arrival>,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
    /// The owners' settings.
    pub owner: owner::Settings,
    /// Mechanisms that are switched off, to see that they matter.
    pub disabled: Disabled,
    /// Decisions whose text has this are kept in the report.
    pub trace: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            workers: Vec::new(),
            arrivals: Vec::new(),
            faults: Vec::new(),
            owner: owner::Settings::default(),
            disabled: Disabled::default(),
            trace: None,
        }
    }
}

/// Mechanisms that may be switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Disabled {
    /// Workers don't refuse lower fencing tokens.
    pub fencing: bool,
    /// A new owner doesn't wait for what may be running.
    pub recovery: bool,
    /// Ends are acknowledged before they are stored.
    pub store_before_ack: bool,
    /// A lost answer of a start counts as a refusal.
    pub lost_replies: bool,
    /// Start orders stay valid for good.
    pub deadlines: bool,
}
