//! The metrics of a node and their Prometheus export.

use opentelemetry::metrics::{Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The registry of a node's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// OpenTelemetry instrumentation scope of all metrics.
    const SCOPE: &'static str = "almondsail";

    /// Creates an empty registry, or returns an error if the exporter can't be built.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns a meter, whose instruments appear in [`Metrics::text`].
    pub fn meter(&self) -> Meter {
        self.provider.meter(Self::SCOPE)
    }

    /// Returns all metrics in the Prometheus text format, or an empty string if encoding fails.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        if TextEncoder::new().encode(&self.registry.gather(), &mut buf).is_err() {
            return String::new();
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}
