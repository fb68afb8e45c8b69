//! Counts and logs requests whose connection ended before they were answered.

use almondsail_core::fleet::{ConnectionEnd, FleetLogEvent};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use crate::fleet::event_log::EventLog;

/// Counts and logs the requests of one listener whose connection ended before they were answered.
#[derive(Debug, Clone)]
pub(crate) struct UnansweredRequests {
    listener: &'static str,
    counter: Counter<u64>,
    log: EventLog,
}

impl UnansweredRequests {
    /// Creates the counter of the listener that is called `listener` in logs and metrics.
    pub(crate) fn new(listener: &'static str, meter: &Meter, log: EventLog) -> Self {
        let counter = meter
            .u64_counter("fleet_unanswered_requests")
            .with_description("Requests whose connection ended before they were answered")
            .build();
        Self { listener, counter, log }
    }

    /// Records that a connection ended with `requests` unanswered requests.
    pub(crate) fn record(&self, end: ConnectionEnd, requests: usize) {
        let labels = [KeyValue::new("listener", self.listener), KeyValue::new("end", end.as_str())];
        self.counter.add(requests as u64, &labels);
        self.log.write(&FleetLogEvent::Unanswered { listener: self.listener, end, requests });
    }
}
