//! The exported metrics of a daemon that forwards calls.

use gl_model::{call, id, time};
use opentelemetry::metrics;

use crate::export;

/// The upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// All instruments of a daemon.
pub struct Metrics {
    exporter: export::Exporter,
    duration: metrics::Histogram<f64>,
    added: metrics::Histogram<f64>,
    retries: metrics::Counter<u64>,
    sheds: metrics::Counter<u64>,
    events: metrics::Counter<u64>,
    levels: metrics::Gauge<f64>,
}

impl Metrics {
    /// Sets up the exporter and all instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new() -> Result<Self, export::Error> {
        let exporter = export::Exporter::new()?;
        let seconds = |name, text| exporter.seconds(name, text, &LATENCY_BOUNDS);
        let count = |name, text| exporter.counter(name, text);
        Ok(Self {
            duration: seconds("http.server.request.duration", "Time from a call to its response"),
            added: seconds("geraniumlatch.proxy.added", "Time that the daemon adds to a call"),
            retries: count("geraniumlatch.call.retries", "Retries of calls, by cause"),
            sheds: count("geraniumlatch.call.sheds", "Calls refused without being run, by cause"),
            events: count("geraniumlatch.events", "Changes of state, by kind"),
            levels: exporter.gauge("geraniumlatch.level", "Levels"),
            exporter,
        })
    }

    /// Records a finished call; `took` is its duration, `server` the part spent in backend servers.
    pub fn call(
        &self,
        service: &id::JobId,
        outcome: call::Outcome,
        took: time::Span,
        server: time::Span,
    ) {
        let service = opentelemetry::KeyValue::new("service", service.0.clone());
        let outcome = opentelemetry::KeyValue::new("outcome", outcome.as_str());
        let attributes = [service, outcome];
        self.duration.record(took.as_seconds(), &attributes);
        let added = time::Span(took.0.saturating_sub(server.0));
        self.added.record(added.as_seconds(), &attributes[..1]);
    }

    /// Records a retry of a call.
    pub fn retry(&self, cause: &'static str) {
        self.retries.add(1, &[opentelemetry::KeyValue::new("cause", cause)]);
    }

    /// Records a call that was shed.
    pub fn shed(&self, cause: &'static str) {
        self.sheds.add(1, &[opentelemetry::KeyValue::new("cause", cause)]);
    }

    /// Records `n` changes of state.
    pub fn event(&self, kind: &'static str, n: u64) {
        if n > 0 {
            self.events.add(n, &[opentelemetry::KeyValue::new("kind", kind)]);
        }
    }

    /// Records the current value of a quantity, such as the number of owned shards.
    pub fn level(&self, kind: &'static str, value: f64) {
        self.levels.record(value, &[opentelemetry::KeyValue::new("kind", kind)]);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        self.exporter.render()
    }
}
