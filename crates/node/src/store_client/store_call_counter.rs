//! Counter of requests to the store.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Counts requests to the store by operation and result.
#[derive(Debug, Clone)]
pub struct StoreCallCounter {
    calls: Counter<u64>,
}

impl StoreCallCounter {
    /// Creates the counter `almondsail_store_calls` with `meter`.
    pub fn new(meter: &Meter) -> Self {
        let calls = meter
            .u64_counter("almondsail_store_calls")
            .with_description("Calls to the store, by operation and result")
            .build();
        Self { calls }
    }

    /// Counts one request; the labels are `operation` and `result`.
    pub(super) fn count(&self, operation: &'static str, result: &'static str) {
        let labels = [KeyValue::new("operation", operation), KeyValue::new("result", result)];
        self.calls.add(1, &labels);
    }
}
