//! The parameters of the owner's decisions.

use gl_model::time;

use crate::owner::WindowSettings;

/// The order in which phases of one class are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseOrder {
    /// Earliest deadline first.
    Deadline,
    /// Least slack first: the deadline minus the critical path of the remaining phases.
    Slack,
    /// Least remaining work first, divided by one plus the job's age in seconds.
    Work,
}

/// The parameters of the rules for best-effort tasks next to long-running ones that look ahead or
/// limit trials. The default switches all of them off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Colocation {
    /// Whether [`Settings::interference_limit`] is reduced for a best-effort task where the tail
    /// ratio of a long-running task is expected to exceed [`Settings::ratio_low`] within the task's
    /// expected duration: in proportion to the room up to [`Settings::ratio_high`]. Refusing only
    /// above `ratio_high` did harm, as the task itself raises the peak.
    pub forecasts_starts: bool,
    /// The maximum number of runs of an untested pair of images in a service while many
    /// best-effort tasks wait; `None` if there is none.
    pub untested_runs: Option<usize>,
    /// The number of observed windows from which a pair of images counts as tested. With 8 windows
    /// the bound cost more than it saved on one of three loads.
    pub tested_windows: f64,
    /// The number of waiting best-effort tasks of a service from which `untested_runs` applies.
    pub untested_backlog: usize,
    /// Whether a window without interference is left out for an image whose runs on the worker have
    /// reduced CPU limits. Such a window says little of the image's effect at its full use, and
    /// counting it made images that interfere seem harmless again.
    pub skips_throttled: bool,
    /// The amplitude of a tail ratio's cycle, relative to its mean, from which forecasts are used. With
    /// smaller swings, holding starts back cost more than it saved.
    pub min_swing: f64,
    /// The interval at which the cost of interference is reported; `None` if it is not.
    pub impact_interval: Option<time::Span>,
}

impl Default for Colocation {
    fn default() -> Self {
        Self {
            forecasts_starts: false,
            untested_runs: None,
            tested_windows: 20.0,
            untested_backlog: 20,
            impact_interval: None,
            skips_throttled: false,
            min_swing: 0.4,
        }
    }
}

/// The phases that are served by what their callers lose while the capacity for them is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossOrder {
    /// None, and the load of services is not measured.
    Off,
    /// Best-effort phases.
    BestEffort,
    /// Best-effort and short phases.
    All,
}

/// The parameters of an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The length of a worker's lease: how long its tasks may run without contact with the owner.
    /// It covers the time that a new owner needs to claim the cell and to reach all workers.
    pub lease: time::Span,
    /// The length of the lease of a draining worker. It is shorter because a task that is still
    /// running when the worker terminates has to start elsewhere soon.
    pub draining_lease: time::Span,
    /// The maximum time from the last renewal of the owner's own lease to the end of a worker's
    /// lease.
    pub horizon: time::Span,
    /// The longest lease that workers accept. Longer ones are shortened to it.
    pub max_lease: time::Span,
    /// The length of the longest row that the store takes, in bytes.
    pub max_row: usize,
    /// The maximum fraction by which a worker's clock may run slower than the owner's.
    pub clock_drift: f64,
    /// The margin added to waits for a deadline by a worker's clock; covers the granularity of timers.
    pub clock_margin: time::Span,
    /// The least time for which a worker may go on after its lease has expired: its process may not be
    /// scheduled at that moment.
    pub lapse_margin: time::Span,
    /// The time for which a start order stays valid in transit. It is longer than the time-out of
    /// an order, and short enough to rule out orders that are carried out seconds late.
    pub start_window: time::Span,
    /// The time after which a start order without an answer is stored for a later owner; several times
    /// what workers need for an answer.
    pub answer_time: time::Span,
    /// The time after which an order that got no answer is carried out at the latest.
    pub order_lateness: time::Span,
    /// The minimum time for which a start order has to be valid: a round trip and the time for which
    /// it may wait for earlier orders to the same worker. While the list of workers is too old to
    /// give an order that time, none is sent.
    pub order_time: time::Span,
    /// The time that an order takes to a worker at most, unless the network is disturbed.
    pub transit_time: time::Span,
    /// The window for start orders in flight. Orders are sent in the order of the decisions, so that an
    /// urgent one waits behind all others in flight: the target is less than half of the latency
    /// target of short jobs.
    pub order_window: WindowSettings,
    /// The time for which a worker may hold a poll while no run ends. One third of the time within
    /// which long-running tasks have to be protected from interference.
    pub poll_wait: time::Span,
    /// The same while the process is short of processor time; the longest that workers accept.
    pub max_poll_wait: time::Span,
    /// The same for a worker that needs attention: it has throttled or stopping runs, or
    /// best-effort tasks next to a long-running task with a tail ratio above `ratio_high`. A run
    /// whose start was not confirmed counts as stopping.
    pub short_wait: time::Span,
    /// The time after which a stop order that was not answered, or not carried out in time, is sent
    /// again.
    pub stop_retry: time::Span,
    /// The time without a reply after which a worker gets no new tasks; more than twice
    /// `poll_wait`.
    pub reply_timeout: time::Span,
    /// The time without progress after which a task counts as stalled; nearly twice `poll_wait`.
    pub stall_timeout: time::Span,
    /// The time for which a suspect worker gets no new tasks.
    pub suspect_time: time::Span,
    /// The share of its reserved processors that a long-running task is assumed to use until this
    /// has been measured.
    pub assumed_use: f64,
    /// The tail ratio (tail latency divided by its target) above which best-effort tasks are
    /// throttled.
    pub ratio_high: f64,
    /// The tail ratio below which all best-effort tasks are unthrottled, also those whose images
    /// are likely to interfere. The gap to `ratio_high` is a hysteresis that keeps the limits from
    /// oscillating.
    pub ratio_low: f64,
    /// The time for which a final state is kept after the end of the job.
    pub retention: time::Span,
    /// The time that a worker may take to end a run that was ordered to stop, or whose lease has expired.
    pub stop_time: time::Span,
    /// The minimum time for which a worker continues to run after it was marked as draining.
    pub drain_time: time::Span,
    /// The time after which a request to empty a failure domain has to be in force; `None` if the
    /// deployment has no such requests.
    pub empty_time: Option<time::Span>,
    /// The maximum number of workers in one request for advice.
    pub advice_workers: usize,
    /// The time after which a best-effort phase that cannot be placed is placed without regard to
    /// interference and idle processors. It is shorter than the time within which waiting work has
    /// to start while there is free capacity.
    pub starvation_time: time::Span,
    /// Whether a best-effort task prefers workers on which the predicted tail ratio of the long-running
    /// tasks is low.
    pub predicts_tail: bool,
    /// The predicted tail ratio above which a best-effort task does not start there; `None` for no
    /// limit. Needs `predicts_tail`.
    pub predicted_limit: Option<f64>,
    /// The time for which a new owner holds as many workers for short tasks as it may, as it has not
    /// seen yet how many they need.
    pub watch_time: time::Span,
    /// The time after which a long-running phase with a task that has ended is placed before short
    /// tasks. Half of the time within which such a task has to run again if there is capacity.
    pub patience: time::Span,
    /// The time after which an unanswered request for advice is sent again.
    pub advice_retry: time::Span,
    /// The decayed count of failures at which a worker becomes suspect if its failures also
    /// outnumber its successes. Three failures in a row reach it, while a job that always fails
    /// adds only one failure per worker.
    pub failure_limit: f64,
    /// The number of workers that have to crash soon after the start of a task before the task is
    /// given up.
    pub crash_limit: usize,
    /// The same for crashes that no other task can have caused.
    pub sole_limit: usize,
    /// The time from the start of a task within which it crashes the worker, if it does.
    pub crash_window: time::Span,
    /// The largest share of a service's workers on which tasks that may crash them run at the same
    /// time.
    pub trial_share: f64,
    /// The time for which a worker that refused an order gets no new order: one round trip and a
    /// poll.
    pub refusal_pause: time::Span,
    /// The time for which a worker without a list entry and without runs stays in the table; longer
    /// than any lease that it may have.
    pub worker_retention: time::Span,
    /// The minimum time from a change of the CPU limits on a worker to the next reduction. It
    /// covers the time until a limit is in force and half a second of measurements that show its
    /// effect.
    pub throttle_interval: time::Span,
    /// The time for which a long-running task may exceed its target before best-effort tasks are
    /// throttled even if their images are known not to interfere. With one poll and two reductions
    /// this is one second less than the time within which such interference has to end.
    pub persistent_after: time::Span,
    /// The time for which a long-running task may exceed its target before all best-effort tasks on
    /// its worker are paused. With one poll this is half of the time within which such interference
    /// has to end, plus one reduction.
    pub prolonged_after: time::Span,
    /// The minimum time from a change of the CPU limits on a worker to the next increase.
    pub unthrottle_interval: time::Span,
    /// The time for which a best-effort task may be paused before it is moved.
    pub pause_limit: time::Span,
    /// The length of the window over which the load and the tail latency of a run are measured.
    pub load_window: time::Span,
    /// The interval at which the learned model is stored for later owners. The model changes over
    /// some seconds, and each write is some kilobytes long.
    pub model_interval: time::Span,
    /// The maximum probability of interference with a worker's long-running tasks at which a
    /// best-effort task may start there. Interference costs several times the payoff of a
    /// best-effort task.
    pub interference_limit: f64,
    /// The rules for best-effort tasks next to long-running ones that look ahead or limit trials.
    pub colocation: Colocation,
    /// The order in which phases of one class are served.
    pub order: PhaseOrder,
    /// Which phases are served by what their callers lose while the capacity for them is scarce.
    pub loss_order: LossOrder,
    /// The time from the start of a run until its load is fully measured.
    pub warm_up: time::Span,
    /// The share of a best-effort task's processors that must be idle on the worker where it
    /// starts.
    pub idle_share: f64,
    /// Whether workers are chosen by their expected speed and by the risk that a task has to run
    /// again.
    pub uses_estimates: bool,
    /// The number of runs that a worker gets which registered or restarted while others were in use,
    /// until one of them is done; `None` for no limit.
    pub unproven_runs: Option<usize>,
    /// The factor by which short and best-effort tasks are expected to take longer on a cold worker;
    /// 1 or less if cold workers are used like others.
    pub cold_factor: f64,
    /// The factor by which tasks away from their rack or data take longer; 1 or less if it is not
    /// known.
    pub remote_factor: f64,
    /// Whether the long-running tasks of a job are spread over failure domains where the capacity
    /// is the same.
    pub spreads_domains: bool,
    /// The largest share of a service's processors for runs that continue while their task runs
    /// again elsewhere, as their worker is slow or silent; zero if no task is started again.
    pub copy_share: f64,
}

impl Settings {
    /// Returns how long after its lease has expired a worker may go on with its runs: it may take as long
    /// to end them as for a stop.
    pub(in crate::owner) fn lapse_time(&self) -> time::Span {
        self.stop_time.max(self.lapse_margin)
    }

    /// Returns a time at which all runs have certainly ended under a lease that lasts for `span` by the
    /// worker's clock, from `at` on.
    pub(in crate::owner) fn lease_end(
        &self,
        at: time::Timestamp,
        span: time::Span,
    ) -> time::Timestamp {
        at + span.scaled(1.0 / (1.0 - self.clock_drift)) + self.lapse_time()
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: time::Span::millis(6_000),
            draining_lease: time::Span::millis(2_500),
            horizon: time::Span::millis(10_000),
            max_lease: time::Span::millis(10_000),
            max_row: 65_536,
            clock_drift: 0.02,
            clock_margin: time::Span::millis(150),
            lapse_margin: time::Span::millis(500),
            start_window: time::Span::millis(1_500),
            answer_time: time::Span::millis(300),
            order_lateness: time::Span::seconds(12),
            order_time: time::Span::millis(300),
            transit_time: time::Span::millis(50),
            order_window: WindowSettings::default(),
            poll_wait: time::Span::millis(1_000),
            max_poll_wait: time::Span::millis(2_000),
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
            empty_time: None,
            advice_workers: 30,
            starvation_time: time::Span::millis(2_000),
            predicts_tail: false,
            predicted_limit: None,
            watch_time: time::Span::ZERO,
            patience: time::Span::seconds(3),
            advice_retry: time::Span::seconds(2),
            failure_limit: 2.4,
            crash_limit: 3,
            sole_limit: 2,
            crash_window: time::Span::millis(500),
            trial_share: 0.125,
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
            colocation: Colocation::default(),
            order: PhaseOrder::Deadline,
            loss_order: LossOrder::Off,
            warm_up: time::Span::millis(800),
            idle_share: 0.9,
            uses_estimates: false,
            unproven_runs: None,
            cold_factor: 1.0,
            remote_factor: 1.0,
            spreads_domains: false,
            copy_share: 0.0,
        }
    }
}
