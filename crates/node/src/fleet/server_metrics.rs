//! Metrics of the backend server beside the node.

use std::sync::Arc;

use almondsail_core::fleet::ServerLoad;
use almondsail_core::units::Percent;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use crate::fleet::traffic::FleetTraffic;

/// Counters of the backend server's responses.
#[derive(Debug, Clone)]
pub(crate) struct ServerMetrics {
    ignored_loads: Counter<u64>,
}

impl ServerMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            ignored_loads: meter
                .u64_counter("fleet_ignored_server_loads")
                .with_description("Loads of the backend server that could not be read")
                .build(),
        }
    }

    /// Counts a load of the backend server that could not be read.
    pub(crate) fn count_ignored_load(&self) {
        self.ignored_loads.add(1, &[]);
    }
}

/// Exports the calls at the backend server by the node's count, what the server reports, and the
/// number of calls that hung. A server that reports nothing has no gauges of it.
pub(crate) fn export(meter: &Meter, traffic: &Arc<FleetTraffic>) {
    let queue = Arc::clone(&traffic.queue);
    meter
        .u64_observable_gauge("fleet_server_calls")
        .with_description("Calls at the backend server, as counted by the node and as told")
        .with_callback(move |gauge| {
            let status = queue.server_status();
            let by = |name| [KeyValue::new("by", name)];
            gauge.observe(u64::from(status.counted), &by("node"));
            if let Some(told) = status.told {
                gauge.observe(u64::from(told.calls()), &by("server"));
            }
        })
        .build();
    let queue = Arc::clone(&traffic.queue);
    meter
        .u64_observable_gauge("fleet_server_service_time_percent")
        .with_description("Current service time of the backend server; 100 is usual")
        .with_callback(move |gauge| {
            if let Some(service_time) = queue.server_status().service_time {
                gauge.observe(u64::from(service_time.get()), &[]);
            }
        })
        .build();
    let queue = Arc::clone(&traffic.queue);
    meter
        .u64_observable_counter("fleet_hanging_calls")
        .with_description("Calls that the backend server neither ran nor answered")
        .with_callback(move |counter| counter.observe(queue.server_status().hanging_calls, &[]))
        .build();
}

/// What is known of the calls at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ServerStatus {
    /// Number of calls at the server by the node's count.
    pub(crate) counted: u32,
    /// Load that the server reported last; `None` if it reports none.
    pub(crate) told: Option<ServerLoad>,
    /// Current service time relative to the usual one; `None` if the server does not report it.
    pub(crate) service_time: Option<Percent>,
    /// Number of calls that were found hanging so far.
    pub(crate) hanging_calls: u64,
}
