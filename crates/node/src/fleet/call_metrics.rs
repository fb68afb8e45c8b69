//! Metrics of callers' requests.

use almondsail_core::RetryReason;
use almondsail_core::units::Micros;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

use crate::fleet::caller_result::CallerResult;

/// Bucket bounds of the histogram of request times, in seconds.
const BUCKET_BOUNDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Counters and histograms of callers' requests.
#[derive(Debug, Clone)]
pub(crate) struct CallMetrics {
    answers: Counter<u64>,
    failures: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    durations: Histogram<f64>,
}

impl CallMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            answers: meter
                .u64_counter("fleet_answers")
                .with_description("Callers' requests that a backend server answered, by class")
                .build(),
            failures: meter
                .u64_counter("fleet_failures")
                .with_description("Callers' requests without an answer, by verdict and reason")
                .build(),
            retries: meter
                .u64_counter("fleet_retries")
                .with_description("Calls that were sent to another door, by reason")
                .build(),
            hedges: meter
                .u64_counter("fleet_hedges")
                .with_description("Slow calls that were sent to a second door as well")
                .build(),
            durations: meter
                .f64_histogram("fleet_call_seconds")
                .with_description("Time until a caller's request ended, by route and outcome")
                .with_boundaries(BUCKET_BOUNDS.to_vec())
                .build(),
        }
    }

    /// Records the result of a caller's request, which took `took`.
    pub(crate) fn record_result(&self, result: &CallerResult, took: Micros) {
        let outcome = match &result.answer {
            Ok(response) => {
                let class = if response.status().is_server_error() { "failed" } else { "served" };
                self.answers.add(1, &[KeyValue::new("class", class)]);
                class
            }
            Err(failure) => {
                let verdict = KeyValue::new("verdict", failure.verdict.as_str());
                let reason = KeyValue::new("reason", failure.reason.as_str());
                self.failures.add(1, &[verdict, reason]);
                failure.verdict.as_str()
            }
        };
        // Route names come from the configuration, never from callers, so that the labels stay few.
        let route = result.route.as_ref().map_or("unknown", |route| route.name.as_str());
        let labels = [KeyValue::new("outcome", outcome), KeyValue::new("route", route.to_owned())];
        self.durations.record(took.get() as f64 / 1e6, &labels);
    }

    /// Counts a slow call that was sent to a second endpoint as well.
    pub(crate) fn count_hedge(&self) {
        self.hedges.add(1, &[]);
    }

    /// Counts a failed call that was sent to another endpoint.
    pub(crate) fn count_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }
}
