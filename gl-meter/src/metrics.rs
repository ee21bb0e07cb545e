//! The exported metrics: counters and latencies through opentelemetry, read in Prometheus' text
//! format.

use gl_model::{call, id, time};
use opentelemetry::metrics::{self, MeterProvider as _};
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

/// The error returned by [`Metrics::new()`].
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter can't be set up.
    #[error("the metrics exporter can't be set up ({detail}); report this as a fault")]
    Exporter {
        /// What it said.
        detail: String,
    },
}

/// The upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// All instruments of a daemon.
pub struct Metrics {
    registry: prometheus::Registry,
    _provider: sdk::SdkMeterProvider,
    duration: metrics::Histogram<f64>,
    added: metrics::Histogram<f64>,
    retries: metrics::Counter<u64>,
    sheds: metrics::Counter<u64>,
    events: metrics::Counter<u64>,
    levels: metrics::Gauge<f64>,
}

impl Metrics {
    /// Sets the exporter and all instruments up.
    ///
    /// # Errors
    ///
    /// If the exporter refuses its settings.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::Exporter { detail: e.to_string() })?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("geraniumlatch");
        let seconds = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(text).with_unit("s");
            histogram.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
        };
        let count = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Ok(Self {
            duration: seconds("http.server.request.duration", "Time from a call to its answer"),
            added: seconds("geraniumlatch.proxy.added", "Time that the daemon adds to a call"),
            retries: count("geraniumlatch.call.retries", "Further attempts at calls, by cause"),
            sheds: count("geraniumlatch.call.sheds", "Calls refused unrun, by cause"),
            events: count("geraniumlatch.events", "Changes of state, by kind"),
            levels: meter.f64_gauge("geraniumlatch.level").with_description("Levels").build(),
            registry,
            _provider: provider,
        })
    }

    /// Notes the end of a call.
    pub fn end(
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

    /// Notes a further attempt at a call.
    pub fn retry(&self, cause: &'static str) {
        self.retries.add(1, &[opentelemetry::KeyValue::new("cause", cause)]);
    }

    /// Notes a call that was refused.
    pub fn shed(&self, cause: &'static str) {
        self.sheds.add(1, &[opentelemetry::KeyValue::new("cause", cause)]);
    }

    /// Notes `n` changes of state.
    pub fn event(&self, kind: &'static str, n: u64) {
        if n > 0 {
            self.events.add(n, &[opentelemetry::KeyValue::new("kind", kind)]);
        }
    }

    /// Notes a level, such as the number of shards owned.
    pub fn level(&self, kind: &'static str, value: f64) {
        self.levels.record(value, &[opentelemetry::KeyValue::new("kind", kind)]);
    }

    /// All metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        let families = self.registry.gather();
        if prometheus::TextEncoder::new().encode(&families, &mut out).is_err() {
            out.clear();
        }
        String::from_utf8(out).unwrap_or_default()
    }
}
