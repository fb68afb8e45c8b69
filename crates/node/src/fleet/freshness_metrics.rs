//! Gauges that show how recent a node's state is.

use std::sync::Arc;

use almondsail_core::fleet::LastUpdates;
use almondsail_core::units::Instant;
use arc_swap::ArcSwap;
use opentelemetry::metrics::Meter;

use crate::clock::Clock;
use crate::fleet::traffic::FleetTraffic;

/// Update times of the control state; the control thread replaces them with each tick.
pub(crate) type SharedLastUpdates = Arc<ArcSwap<LastUpdates>>;

/// Exports the version of the configuration, the numbers of other nodes heard lately and of backend
/// servers, and the age of each part of the state. A part that was never updated has no age.
pub(crate) fn export(meter: &Meter, updates: &SharedLastUpdates, traffic: &Arc<FleetTraffic>) {
    let (clock, shared) = (traffic.clock, Arc::clone(updates));
    meter
        .u64_observable_gauge("fleet_config_version")
        .with_description("Version of the configuration in force; 0 for none")
        .with_callback(move |gauge| gauge.observe(shared.load().config_version.get(), &[]))
        .build();
    let shared = Arc::clone(updates);
    meter
        .u64_observable_gauge("fleet_store_role")
        .with_description("0: hears of changes from others; 1: watches the store; 2: leads")
        .with_callback(move |gauge| gauge.observe(shared.load().store_role as u64, &[]))
        .build();
    let shared = Arc::clone(updates);
    meter
        .u64_observable_gauge("fleet_peers")
        .with_description("Other nodes that were heard lately")
        .with_callback(move |gauge| gauge.observe(shared.load().peers as u64, &[]))
        .build();
    let view = Arc::clone(&traffic.view);
    meter
        .u64_observable_gauge("fleet_backends")
        .with_description("Backend servers that calls can be sent to")
        .with_callback(move |gauge| gauge.observe(view.load().reachable_endpoints() as u64, &[]))
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
    let text = "Time since the store last confirmed the operator's keys, to any node";
    age_gauge(
        meter,
        clock,
        "fleet_confirmed_age_seconds",
        text,
        last_update(|updates| updates.confirmed),
    );
    let text = "Time since the pending watch of the operator's keys was sent";
    age_gauge(meter, clock, "fleet_watch_age_seconds", text, last_update(|updates| updates.watch));
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

/// Exports the seconds since the time that `since` returns; nothing while it returns `None`.
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
