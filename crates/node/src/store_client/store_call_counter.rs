//! Counts of calls to the store.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Counts of calls to the store, by operation and result.
#[derive(Debug, Clone)]
pub struct StoreCallCounter {
    calls: Counter<u64>,
}

impl StoreCallCounter {
    /// Counters made by `meter`.
    pub fn new(meter: &Meter) -> Self {
        let calls = meter
            .u64_counter("almondsail_store_calls")
            .with_description("Calls to the store, by operation and result")
            .build();
        Self { calls }
    }

    /// Counts one call.
    pub(super) fn count(&self, operation: &'static str, result: &'static str) {
        let labels = [KeyValue::new("operation", operation), KeyValue::new("result", result)];
        self.calls.add(1, &labels);
    }
}
