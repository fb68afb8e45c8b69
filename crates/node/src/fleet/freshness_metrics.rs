//! Gauges of a node's state and of its age.

use std::sync::Arc;

use almondsail_core::fleet::LastUpdates;
use almondsail_core::units::Instant;
use arc_swap::ArcSwap;
use opentelemetry::metrics::Meter;

use crate::clock::Clock;
use crate::fleet::traffic::FleetTraffic;

/// The last updates of the control thread's state, as it last published them.
pub(crate) type SharedLastUpdates = Arc<ArcSwap<LastUpdates>>;

/// Exports the version of the configuration, the number of known nodes and the age of each part of
/// the state. Parts that were never updated have no age.
pub(crate) fn export(meter: &Meter, updates: &SharedLastUpdates, traffic: &Arc<FleetTraffic>) {
    let (clock, shared) = (traffic.clock, Arc::clone(updates));
    meter
        .u64_observable_gauge("fleet_config_version")
        .with_description("Version of the configuration in force; 0 for none")
        .with_callback(move |gauge| gauge.observe(shared.load().config_version.get(), &[]))
        .build();
    let shared = Arc::clone(updates);
    meter
        .u64_observable_gauge("fleet_peers")
        .with_description("Other nodes that were heard lately")
        .with_callback(move |gauge| gauge.observe(shared.load().peers as u64, &[]))
        .build();
    let last_update = |since: fn(&LastUpdates) -> Option<Instant>| {
        let shared = Arc::clone(updates);
        move || since(&shared.load())
    };
    let text = "Time since the configuration came into force";
    age_gauge(
        meter,
        clock,
        "fleet_config_age_seconds",
        text,
        last_update(|updates| updates.config),
    );
    let text = "Time since the store last answered";
    age_gauge(meter, clock, "fleet_store_age_seconds", text, last_update(|updates| updates.store));
    let text = "Time since the most silent of the nodes heard lately was heard";
    age_gauge(
        meter,
        clock,
        "fleet_peer_age_seconds",
        text,
        last_update(|updates| updates.oldest_peer),
    );
    let text = "Age of the oldest load by which calls are placed";
    let traffic = Arc::clone(traffic);
    let oldest_load = move || traffic.load_balancer().oldest_report(clock.now());
    age_gauge(meter, clock, "fleet_load_age_seconds", text, oldest_load);
}

/// Exports how long ago `since` was, while it is known.
fn age_gauge(
    meter: &Meter,
    clock: Clock,
    name: &'static str,
    description: &'static str,
    since: impl Fn() -> Option<Instant> + Send + Sync + 'static,
) {
    meter
        .f64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |gauge| {
            if let Some(since) = since() {
                gauge.observe(clock.now().since(since).get() as f64 / 1e6, &[]);
            }
        })
        .build();
}
