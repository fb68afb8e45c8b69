//! The counters of a node and their text form.

use opentelemetry::metrics::{Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The counters of a node.
#[derive(Debug, Clone)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Name of the instrumentation scope.
    const SCOPE: &'static str = "almondsail";

    /// An empty set of counters.
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

    /// Creates counters.
    pub fn meter(&self) -> Meter {
        self.provider.meter(Self::SCOPE)
    }

    /// Every counter in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        if TextEncoder::new().encode(&self.registry.gather(), &mut buf).is_err() {
            return String::new();
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}
