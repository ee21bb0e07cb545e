//! The limits that the owner's decisions depend on.

use gl_model::time;

/// In which order phases of one class are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseOrder {
    /// The earliest deadline first.
    Deadline,
    /// The least time to spare first: the deadline less the longest chain of phases left.
    Slack,
    /// The least work left first, aged by the time that the phase has waited.
    Work,
}

/// The owner's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long everything on a worker may run without hearing from the owner. Covers the time
    /// that a new owner needs to claim the cell and to reach all workers.
    pub lease: time::Span,
    /// The same for a worker that is about to leave: what still runs there when it goes has to
    /// start elsewhere soon.
    pub draining_lease: time::Span,
    /// How long after the last renewal of the owner's own lease workers' leases may last.
    pub horizon: time::Span,
    /// How much slower a worker's clock may run than the owner's.
    pub clock_drift: f64,
    /// Added to all waits for a worker's clock; covers the granularity of timers.
    pub clock_margin: time::Span,
    /// How long a start order stays valid on its way. Longer than the time-out of an order, and
    /// short against orders that are carried out seconds late.
    pub start_window: time::Span,
    /// How long an idle worker may hold a look back. A third of the time within which lasting
    /// tasks have to be protected.
    pub poll_wait: time::Span,
    /// The same while a worker needs attention: paced, stopping or unsure runs.
    pub short_wait: time::Span,
    /// After how long an unanswered or unfulfilled stop is sent again.
    pub stop_retry: time::Span,
    /// A worker without an answered look for so long gets no new tasks. Twice the longest look.
    pub reply_timeout: time::Span,
    /// How long a task may show no progress before it counts as stuck. Two looks at least.
    pub stall_timeout: time::Span,
    /// How long a suspect worker gets no new tasks.
    pub suspect_time: time::Span,
    /// The share of a lasting task's reserved processors that it is taken to use before that
    /// has been measured.
    pub assumed_use: f64,
    /// Tail latency as a multiple of its target above which fill tasks are paced down.
    pub ratio_high: f64,
    /// The same below which they are let go again; the gap keeps the pace from swinging.
    pub ratio_low: f64,
    /// How long a final state is kept after the job's end.
    pub retention: time::Span,
    /// How long a worker may take to stop a run.
    pub stop_time: time::Span,
    /// How long a worker goes on after it said that it leaves, at least.
    pub drain_time: time::Span,
    /// Workers that one question for advice names at most.
    pub advice_workers: usize,
    /// How long a task may find no place before harm and idle processors don't count any more.
    /// Below the time within which waiting work has to start while there is room.
    pub starvation_time: time::Span,
    /// After how long an unanswered question for advice is asked again.
    pub advice_retry: time::Span,
    /// The fading count of failures from which on a worker that fails more than it completes is
    /// suspect. Three in a row reach it; a job that can't be done fails once a worker.
    pub failure_limit: f64,
    /// How long a worker that refused an order gets no new one; one round trip and a look.
    pub refusal_pause: time::Span,
    /// How long a worker without entry and runs is remembered; longer than any lease there.
    pub worker_retention: time::Span,
    /// The least time between two steps down of a worker's pace. Covers the time until the pace
    /// is in force and half a second of measurement shows it.
    pub throttle_interval: time::Span,
    /// How long a lasting task may stay over its target beside fill tasks that are known to be
    /// harmless, before they are slowed all the same. With a look and two steps down it is a
    /// second less than the time within which such harm has to end.
    pub persistent_after: time::Span,
    /// How long a lasting task may stay over its target before all fill tasks beside it stand
    /// still: with a look half of the time within which such harm has to end, and a step more.
    pub prolonged_after: time::Span,
    /// The least time before a step up.
    pub unthrottle_interval: time::Span,
    /// How long fill tasks may stand still before they are moved.
    pub pause_limit: time::Span,
    /// How long the load and the tail latency of a run are measured over.
    pub load_window: time::Span,
    /// How often what was learnt of images is stored, for the next owner. It changes over some
    /// seconds, and some kilobytes are written each time.
    pub model_interval: time::Span,
    /// The probability with which a worker's lasting tasks may be harmed where a fill task starts.
    /// A harmed lasting task costs several times what a fill task earns.
    pub interference_limit: f64,
    /// In which order phases of one class are served.
    pub order: PhaseOrder,
    /// How long a run takes until its load is measured in full.
    pub warm_up: time::Span,
    /// The share of a fill task's processors that must be idle where it starts.
    pub idle_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: time::Span::millis(6_000),
            draining_lease: time::Span::millis(2_500),
            horizon: time::Span::millis(10_000),
            clock_drift: 0.02,
            clock_margin: time::Span::millis(150),
            start_window: time::Span::millis(1_500),
            poll_wait: time::Span::millis(1_000),
            short_wait: time::Span::millis(250),
            stop_retry: time::Span::millis(500),
            reply_timeout: time::Span::millis(2_500),
            stall_timeout: time::Span::millis(1_800),
            suspect_time: time::Span::seconds(4),
            assumed_use: 0.5,
            ratio_high: 0.9,
            ratio_low: 0.6,
            retention: time::Span::seconds(180),
            stop_time: time::Span::millis(900),
            drain_time: time::Span::millis(2_000),
            advice_workers: 30,
            starvation_time: time::Span::millis(2_000),
            advice_retry: time::Span::seconds(2),
            failure_limit: 2.4,
            refusal_pause: time::Span::millis(500),
            worker_retention: time::Span::seconds(12),
            throttle_interval: time::Span::millis(600),
            persistent_after: time::Span::millis(1_000),
            prolonged_after: time::Span::millis(1_800),
            unthrottle_interval: time::Span::millis(1_000),
            pause_limit: time::Span::millis(2_000),
            load_window: time::Span::millis(500),
            model_interval: time::Span::seconds(2),
            interference_limit: 0.25,
            order: PhaseOrder::Deadline,
            warm_up: time::Span::millis(800),
            idle_share: 0.9,
        }
    }
}
