//! Gauges of what a node believes, and of how old that is.

use std::sync::Arc;

use almondsail_core::fleet::BeliefTimes;
use almondsail_core::units::Instant;
use arc_swap::ArcSwap;
use opentelemetry::metrics::{AsyncInstrument, Meter};

use crate::clock::Clock;
use crate::fleet::traffic::FleetTraffic;

/// The times of the control thread's beliefs, as it last told them.
pub(crate) type SharedTimes = Arc<ArcSwap<BeliefTimes>>;

/// Exports the version of the configuration, the number of known nodes and the ages of the
/// beliefs. An age without a belief is not shown.
pub(crate) fn export(meter: &Meter, times: &SharedTimes, traffic: &Arc<FleetTraffic>) {
    let (clock, shared) = (traffic.clock, Arc::clone(times));
    meter
        .u64_observable_gauge("fleet_config_version")
        .with_description("Version of the configuration in force; 0 for none")
        .with_callback(move |gauge| gauge.observe(shared.load().config_version.get(), &[]))
        .build();
    let shared = Arc::clone(times);
    meter
        .u64_observable_gauge("fleet_peers")
        .with_description("Other nodes that were heard lately")
        .with_callback(move |gauge| gauge.observe(shared.load().peers as u64, &[]))
        .build();
    let shared = Arc::clone(times);
    meter
        .f64_observable_gauge("fleet_config_age_seconds")
        .with_description("Time since the configuration came into force")
        .with_callback(move |gauge| observe_age(gauge, clock, shared.load().config))
        .build();
    let shared = Arc::clone(times);
    meter
        .f64_observable_gauge("fleet_store_age_seconds")
        .with_description("Time since the store last answered")
        .with_callback(move |gauge| observe_age(gauge, clock, shared.load().store))
        .build();
    let shared = Arc::clone(times);
    meter
        .f64_observable_gauge("fleet_peer_age_seconds")
        .with_description("Time since the most silent of the nodes heard lately was heard")
        .with_callback(move |gauge| observe_age(gauge, clock, shared.load().oldest_peer))
        .build();
    let traffic = Arc::clone(traffic);
    meter
        .f64_observable_gauge("fleet_load_age_seconds")
        .with_description("Age of the oldest load by which calls are placed")
        .with_callback(move |gauge| {
            observe_age(gauge, clock, traffic.placement().oldest_report(clock.now()));
        })
        .build();
}

fn observe_age(gauge: &dyn AsyncInstrument<f64>, clock: Clock, since: Option<Instant>) {
    if let Some(since) = since {
        gauge.observe(clock.now().since(since).get() as f64 / 1e6, &[]);
    }
}
