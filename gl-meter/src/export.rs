//! The exporter that all metrics share: OpenTelemetry instruments, exported in the text format of
//! Prometheus.

use opentelemetry::metrics::{self, MeterProvider as _};
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

/// The error returned by [`Exporter::new()`].
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter cannot be set up.
    #[error("cannot set up the metrics exporter ({detail}); report this as a fault")]
    Exporter {
        /// The message of the library.
        detail: String,
    },
}

/// The registry of instruments, with its export.
pub struct Exporter {
    registry: prometheus::Registry,
    provider: sdk::SdkMeterProvider,
}

impl Exporter {
    /// Returns an exporter with its own registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the library refuses the settings.
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

    /// Returns a new counter.
    pub fn counter(&self, name: &'static str, text: &'static str) -> metrics::Counter<u64> {
        self.meter().u64_counter(name).with_description(text).build()
    }

    /// Returns a new histogram of durations, in seconds.
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

    /// Returns a new gauge.
    pub fn gauge(&self, name: &'static str, text: &'static str) -> metrics::Gauge<f64> {
        self.meter().f64_gauge(name).with_description(text).build()
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = prometheus::TextEncoder::new().encode(&families, &mut out) {
            log::warn!("cannot encode the metrics ({error}); the response contains none");
            out.clear();
        }
        String::from_utf8(out).unwrap_or_default()
    }
}
