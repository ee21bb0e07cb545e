//! What all metrics share: instruments by opentelemetry, read in Prometheus' text format.

use opentelemetry::metrics::{self, MeterProvider as _};
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

/// The error returned by [`Exporter::new()`].
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter can't be set up.
    #[error("the metrics exporter can't be set up ({detail}); report this as a fault")]
    Exporter {
        /// What it said.
        detail: String,
    },
}

/// Where instruments report to.
pub struct Exporter {
    registry: prometheus::Registry,
    provider: sdk::SdkMeterProvider,
}

impl Exporter {
    /// An exporter with a registry of its own.
    ///
    /// # Errors
    ///
    /// If the library refuses its settings.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::Exporter { detail: e.to_string() })?;
        let provider = sdk::SdkMeterProvider::builder().with_reader(reader).build();
        Ok(Self { registry, provider })
    }

    fn meter(&self) -> metrics::Meter {
        self.provider.meter("geraniumlatch")
    }

    /// A counter.
    pub fn counter(&self, name: &'static str, text: &'static str) -> metrics::Counter<u64> {
        self.meter().u64_counter(name).with_description(text).build()
    }

    /// A histogram of times, in seconds.
    pub fn seconds(
        &self,
        name: &'static str,
        text: &'static str,
        bounds: &[f64],
    ) -> metrics::Histogram<f64> {
        let meter = self.meter();
        let histogram = meter.f64_histogram(name).with_description(text).with_unit("s");
        histogram.with_boundaries(bounds.to_vec()).build()
    }

    /// A level.
    pub fn gauge(&self, name: &'static str, text: &'static str) -> metrics::Gauge<f64> {
        self.meter().f64_gauge(name).with_description(text).build()
    }

    /// All metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = prometheus::TextEncoder::new().encode(&families, &mut out) {
            log::warn!("the metrics can't be written ({error}); they are left out of this answer");
            out.clear();
        }
        String::from_utf8(out).unwrap_or_default()
    }
}
