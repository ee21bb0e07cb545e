//! Metrics of a daemon that schedules jobs.

use gl_jobs::{owner, worker};
use gl_model::time;
use opentelemetry::metrics;

use crate::export;

/// The upper bounds of the latency histograms' buckets, in seconds.
const BOUNDS: [f64; 10] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// All instruments.
pub struct Metrics {
    exporter: export::Exporter,
    submits: metrics::Counter<u64>,
    submit_time: metrics::Histogram<f64>,
    starts: metrics::Counter<u64>,
    start_time: metrics::Histogram<f64>,
    ends: metrics::Counter<u64>,
    jobs: metrics::Counter<u64>,
    job_time: metrics::Histogram<f64>,
    looks: metrics::Counter<u64>,
    store: metrics::Counter<u64>,
    events: metrics::Counter<u64>,
    levels: metrics::Gauge<f64>,
}

impl Metrics {
    /// Sets all instruments up.
    ///
    /// # Errors
    ///
    /// If the exporter can't be set up.
    pub fn new() -> Result<Self, export::Error> {
        let exporter = export::Exporter::new()?;
        let seconds = |name, text| exporter.seconds(name, text, &BOUNDS);
        let count = |name, text| exporter.counter(name, text);
        Ok(Self {
            submits: count("geraniumlatch.jobs.submitted", "Submitted jobs, by outcome"),
            submit_time: seconds("geraniumlatch.jobs.submit", "Time until a job is stored"),
            starts: count("geraniumlatch.runs.started", "Start orders, by answer"),
            start_time: seconds("geraniumlatch.runs.start", "Time until a start is answered"),
            ends: count("geraniumlatch.runs.ended", "Ended runs, by cause"),
            jobs: count("geraniumlatch.jobs.ended", "Ended jobs, by state"),
            job_time: seconds("geraniumlatch.jobs.duration", "Time until a job has ended"),
            looks: count("geraniumlatch.looks", "Looks at workers, by outcome"),
            store: count("geraniumlatch.store.calls", "Calls of the store, by outcome"),
            events: count("geraniumlatch.changes", "Changes of belief, by kind"),
            levels: exporter.gauge("geraniumlatch.levels", "Levels"),
            exporter,
        })
    }

    /// A job was stored, or not.
    pub fn submit(&self, outcome: &'static str, took: time::Span) {
        self.submits.add(1, &[opentelemetry::KeyValue::new("outcome", outcome)]);
        self.submit_time.record(took.as_seconds(), &[]);
    }

    /// A start order was answered, or not.
    pub fn start(&self, answer: worker::OrderReply, took: time::Span) {
        let answer = match answer {
            worker::OrderReply::Done => "done",
            worker::OrderReply::Refused(_) => "refused",
            worker::OrderReply::Lost => "lost",
        };
        self.starts.add(1, &[opentelemetry::KeyValue::new("answer", answer)]);
        self.start_time.record(took.as_seconds(), &[]);
    }

    /// The owner's beliefs changed.
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
            owner::Note::Stopping { .. } => self.event("stop"),
            owner::Note::Ordered { .. } | owner::Note::Recovered { .. } => {}
        }
    }

    fn event(&self, kind: &'static str) {
        self.events.add(1, &[opentelemetry::KeyValue::new("kind", kind)]);
    }

    /// A worker was looked at.
    pub fn poll(&self, is_answered: bool) {
        let outcome = if is_answered { "ok" } else { "failed" };
        self.looks.add(1, &[opentelemetry::KeyValue::new("outcome", outcome)]);
    }

    /// The store was called.
    pub fn store_call(&self, outcome: &'static str) {
        self.store.add(1, &[opentelemetry::KeyValue::new("outcome", outcome)]);
    }

    /// This daemon claimed a cell.
    pub fn claim(&self) {
        self.event("claim");
    }

    /// This daemon gave a cell up.
    pub fn step_down(&self) {
        self.event("step-down");
    }

    /// The version of the routing in force.
    pub fn routing_version(&self, version: u64) {
        self.level("routing-version", version);
    }

    /// How many lines of the log were dropped.
    pub fn lines_dropped(&self, total: u64) {
        self.level("log-lines-dropped", total);
    }

    fn level(&self, kind: &'static str, value: u64) {
        self.levels.record(value as f64, &[opentelemetry::KeyValue::new("kind", kind)]);
    }

    /// All metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        self.exporter.render()
    }
}
