//! The exported metrics of a daemon that schedules jobs.

use gl_cost::{level, summary};
use gl_jobs::{owner, worker};
use gl_model::time;
use opentelemetry::metrics;

use crate::export;

/// The upper bounds of the latency histograms' buckets, in seconds.
const BOUNDS: [f64; 10] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// All instruments of the daemon.
pub struct Metrics {
    exporter: export::Exporter,
    submits: metrics::Counter<u64>,
    submit_time: metrics::Histogram<f64>,
    unread: metrics::Counter<u64>,
    starts: metrics::Counter<u64>,
    start_time: metrics::Histogram<f64>,
    ends: metrics::Counter<u64>,
    jobs: metrics::Counter<u64>,
    job_time: metrics::Histogram<f64>,
    polls: metrics::Counter<u64>,
    store: metrics::Counter<u64>,
    events: metrics::Counter<u64>,
    interference: metrics::Counter<u64>,
    interference_rates: metrics::Gauge<f64>,
    levels: metrics::Gauge<f64>,
    loads: metrics::Gauge<f64>,
}

impl Metrics {
    /// Sets up the exporter and all instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new() -> Result<Self, export::Error> {
        let exporter = export::Exporter::new()?;
        let seconds = |name, text| exporter.seconds(name, text, &BOUNDS);
        let count = |name, text| exporter.counter(name, text);
        Ok(Self {
            submits: count("geraniumlatch.jobs.submitted", "Submitted jobs, by outcome"),
            submit_time: seconds("geraniumlatch.jobs.submit", "Time until a job is stored"),
            unread: count(
                "geraniumlatch.bodies.unread",
                "Requests whose body was not read to its end, by cause",
            ),
            starts: count("geraniumlatch.runs.started", "Start orders, by reply"),
            start_time: seconds("geraniumlatch.runs.start", "Time from a start order to its reply"),
            ends: count("geraniumlatch.runs.ended", "Ended runs, by cause"),
            jobs: count("geraniumlatch.jobs.ended", "Ended jobs, by state"),
            job_time: seconds("geraniumlatch.jobs.duration", "Time until a job has ended"),
            polls: count("geraniumlatch.looks", "Polls of workers, by outcome"),
            store: count("geraniumlatch.store.calls", "Calls of the store, by outcome"),
            events: count("geraniumlatch.changes", "Changes of the owner's state, by kind"),
            interference: count(
                "geraniumlatch.interference",
                "Starts of best-effort tasks, and what interference has cost, by service and kind",
            ),
            interference_rates: exporter.gauge(
                "geraniumlatch.interference.rate",
                "Newest cost of interference per 1,000 starts of best-effort tasks",
            ),
            levels: exporter.gauge("geraniumlatch.levels", "Levels"),
            loads: exporter
                .gauge("geraniumlatch.load", "Load by service, kind of tasks and quantity"),
            exporter,
        })
    }

    /// Records an attempt to store a submitted job.
    pub fn submit(&self, outcome: &'static str, took: time::Span) {
        self.submits.add(1, &[opentelemetry::KeyValue::new("outcome", outcome)]);
        self.submit_time.record(took.as_seconds(), &[]);
    }

    /// Records a request whose body was not read to its end.
    pub fn body_unread(&self, cause: &'static str) {
        self.unread.add(1, &[opentelemetry::KeyValue::new("cause", cause)]);
    }

    /// Records the reply to a start order, or its loss.
    pub fn start(&self, reply: worker::OrderReply, took: time::Span) {
        let reply = match reply {
            worker::OrderReply::Done => "done",
            worker::OrderReply::Refused(_) => "refused",
            worker::OrderReply::Lost => "lost",
        };
        self.starts.add(1, &[opentelemetry::KeyValue::new("answer", reply)]);
        self.start_time.record(took.as_seconds(), &[]);
    }

    /// Records a change in the owner's state.
    pub fn note(&self, note: &owner::Note) {
        match note {
            owner::Note::Ended { cause, .. } => {
                let cause = format!("{cause:?}").to_lowercase();
                self.ends.add(1, &[opentelemetry::KeyValue::new("cause", cause)]);
            }
            owner::Note::Decided { state, age, .. } => {
                let state = format!("{state:?}").to_lowercase();
                self.jobs.add(1, &[opentelemetry::KeyValue::new("state", state)]);
                self.job_time.record(age.as_seconds(), &[]);
            }
            owner::Note::Throttled { .. } => self.event("pace"),
            owner::Note::Suspected { .. } => self.event("suspect"),
            owner::Note::Replaced { .. } => self.event("replaced"),
            owner::Note::LeasesExpired { .. } => self.event("leases-expired"),
            owner::Note::Stopping { .. } => self.event("stop"),
            owner::Note::SecondRun { .. } => self.event("second-run"),
            owner::Note::SecondRunsOmitted { runs } => self.count("second-run", *runs as u64),
            owner::Note::Outlived { .. } => self.event("outlived"),
            owner::Note::OutlivedOmitted { runs, .. } => self.count("outlived", *runs as u64),
            owner::Note::LifetimeBegan(_) => self.event("lifetime-began"),
            owner::Note::EndsMissed(missed) => self.count("ends-missed", missed.count),
            owner::Note::LifetimesOmitted { reports } => {
                self.count("lifetimes-omitted", *reports as u64);
            }
            owner::Note::OrderedAgain { .. } => self.event("ordered-again"),
            owner::Note::OrderExpired { .. } => self.event("order-expired"),
            owner::Note::Overtaken { .. } => self.event("overtaken"),
            owner::Note::Implicated { .. } => self.event("implicated"),
            owner::Note::GivenUp { .. } => self.event("given-up"),
            owner::Note::Unstorable { .. } => self.event("unstorable"),
            owner::Note::Emptied { .. } => self.event("domain-emptied"),
            owner::Note::Restored { .. } => self.event("domain-restored"),
            owner::Note::Impact { service, impact, .. } => self.impact(service, impact),
            owner::Note::ShortTasksWait(_) => self.event("short-tasks-wait"),
            owner::Note::Ordered { .. }
            | owner::Note::Recovering { .. }
            | owner::Note::Recovered { .. } => {}
        }
    }

    fn impact(&self, service: &str, impact: &owner::Impact) {
        let labels = |kind| {
            let service = opentelemetry::KeyValue::new("service", service.to_owned());
            [service, opentelemetry::KeyValue::new("kind", kind)]
        };
        self.interference.add(impact.starts, &labels("starts"));
        let costs =
            [("windows", impact.windows), ("stopped", impact.stopped), ("limits", impact.limits)];
        for (kind, count) in costs {
            self.interference.add(count, &labels(kind));
            self.interference_rates.record(impact.per_thousand(count), &labels(kind));
        }
    }

    fn event(&self, kind: &'static str) {
        self.count(kind, 1);
    }

    fn count(&self, kind: &'static str, events: u64) {
        self.events.add(events, &[opentelemetry::KeyValue::new("kind", kind)]);
    }

    /// Records a poll of a worker.
    pub fn poll(&self, is_successful: bool) {
        let outcome = if is_successful { "ok" } else { "failed" };
        self.polls.add(1, &[opentelemetry::KeyValue::new("outcome", outcome)]);
    }

    /// Records a call of the store.
    pub fn store_call(&self, outcome: &'static str) {
        self.store.add(1, &[opentelemetry::KeyValue::new("outcome", outcome)]);
    }

    /// Records that this daemon claimed a cell.
    pub fn claim(&self) {
        self.event("claim");
    }

    /// Records that this daemon gave up a cell.
    pub fn step_down(&self) {
        self.event("step-down");
    }

    /// Records the version of the routing table in use.
    pub fn routing_version(&self, version: u64) {
        self.level("routing-version", version);
    }

    /// Records the time since which the routing table may be out of date.
    pub fn routing_age(&self, age: time::Span) {
        self.level("routing-age-ms", age.as_millis());
    }

    /// Records the number of emptied failure domains, and of the runs that continue in them.
    pub fn emptied(&self, domains: usize, runs: usize) {
        self.level("emptied-domains", domains as u64);
        self.level("emptied-runs", runs as u64);
    }

    /// Records the estimated memory of the owner's jobs, and the limit for it, in bytes.
    pub fn job_memory(&self, used: usize, limit: usize) {
        self.level("job-bytes", used as u64);
        self.level("job-bytes-limit", limit as u64);
    }

    /// Records the number of daemons that the owner has stored as those that may claim the cell, and of the
    /// followers that were silent for long.
    pub fn followers(&self, claimants: usize, silent: usize) {
        self.level("claimants", claimants as u64);
        self.level("silent-followers", silent as u64);
    }

    /// Records the start orders that were not answered, the limit on them, and the other orders that
    /// were not answered.
    pub fn orders(&self, starts: usize, limit: usize, urgent: usize) {
        self.level("starts-in-flight", starts as u64);
        self.level("starts-limit", limit as u64);
        self.level("urgent-orders-in-flight", urgent as u64);
    }

    /// Records the polls that were not answered, those that wait for others, and the time since the
    /// oldest of the workers' last replies.
    pub fn polls(&self, in_flight: usize, waiting: usize, oldest: time::Span) {
        self.level("oldest-reply-age-ms", oldest.as_millis());
        self.level("polls-in-flight", in_flight as u64);
        self.level("polls-waiting", waiting as u64);
    }

    /// Records the load of the services as this daemon knows it, and how old that is. The level is 0
    /// for ample, 1 for tight and 2 for scarce; backlogs are in core-seconds, the rest in cores.
    pub fn load(&self, summary: &summary::Summary, age: time::Span) {
        self.level("load-age-ms", age.as_millis());
        for load in &summary.loads {
            let level = match load.level {
                level::Level::Ample => 0.0,
                level::Level::Tight => 1.0,
                level::Level::Scarce => 2.0,
            };
            let quantities = [
                ("level", level),
                ("backlog", load.sample.backlog),
                ("arrivals", load.sample.arrivals),
                ("completions", load.sample.completions),
                ("free", load.sample.free),
            ];
            for (quantity, value) in quantities {
                let service = opentelemetry::KeyValue::new("service", load.service.clone());
                let kind = opentelemetry::KeyValue::new("kind", load.kind.as_str());
                let quantity = opentelemetry::KeyValue::new("quantity", quantity);
                self.loads.record(value, &[service, kind, quantity]);
            }
        }
    }

    /// Records the total number of dropped log lines.
    pub fn lines_dropped(&self, total: u64) {
        self.level("log-lines-dropped", total);
    }

    /// Records the total number of connections that were closed as there were too many.
    pub fn connections_closed(&self, total: u64) {
        self.level("connections-closed", total);
    }

    fn level(&self, kind: &'static str, value: u64) {
        self.levels.record(value as f64, &[opentelemetry::KeyValue::new("kind", kind)]);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        self.exporter.render()
    }
}
