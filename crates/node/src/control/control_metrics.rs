//! OpenTelemetry instruments for the configuration, peer messages and operators' errors.

use std::sync::Arc;

use almondsail_core::traffic::Snapshot;
use arc_swap::ArcSwap;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use crate::byte_counts::ByteCounts;

/// Registers the gauge of the applied configuration version and the counters of bytes
/// exchanged with other nodes.
pub fn export(meter: &Meter, snapshot: &Arc<ArcSwap<Snapshot>>, bytes: &ByteCounts) {
    let snapshot = snapshot.clone();
    meter
        .u64_observable_gauge("almondsail_config_version")
        .with_description("Version of the configuration in force; 0 for none")
        .with_callback(move |gauge| {
            let version = snapshot.load().config.as_ref().map_or(0, |cfg| cfg.version.get());
            gauge.observe(version, &[]);
        })
        .build();
    let bytes = bytes.clone();
    meter
        .u64_observable_counter("almondsail_control_bytes")
        .with_description("Bytes of messages to and from other nodes, without TCP and IP headers")
        .with_callback(move |counter| {
            counter.observe(bytes.sent(), &[KeyValue::new("direction", "sent")]);
            counter.observe(bytes.received(), &[KeyValue::new("direction", "received")]);
        })
        .build();
}

/// Returns the counter of frames and connections of other nodes that were refused.
pub fn refused_peer_frames(meter: &Meter) -> Counter<u64> {
    meter
        .u64_counter("almondsail_peer_frames_refused")
        .with_description("Frames and connections of other nodes that were refused, by reason")
        .build()
}

/// Returns the counter of operators' requests that were answered with an error.
pub fn operator_errors(meter: &Meter) -> Counter<u64> {
    meter
        .u64_counter("almondsail_operator_errors")
        .with_description("Requests of operators that were answered with an error, by reason")
        .build()
}
