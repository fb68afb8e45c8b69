//! Prints the share of requests that any policy could serve at a load.
//!
//! `cargo run --release --example load_bound -p almondsail-core [LOAD]`, where LOAD multiplies the
//! usual rates and is 1 if left out. Prints all sites.

use std::process::ExitCode;

/// The calls that a request makes to another service while it holds its own slot.
struct InnerCalls {
    service: usize,
    /// The mean number of calls for each request.
    count: f64,
    /// The run time of a call at a server of speed 1, in seconds.
    work: f64,
}

/// A kind of request with its rate and its run time.
struct RequestKind {
    name: &'static str,
    service: usize,
    /// The number of requests per second at the usual load.
    rate: f64,
    /// The run time of a request at a server of speed 1, in seconds.
    work: f64,
    inner: Option<InnerCalls>,
}

struct Service {
    name: &'static str,
    /// The speeds of the service's servers, relative to 1.
    speeds: &'static [f64],
}

struct Site {
    name: &'static str,
    slots: f64,
    services: [Service; 4],
    kinds: [RequestKind; 4],
}

const fn inner(service: usize, count: f64, work: f64) -> Option<InnerCalls> {
    Some(InnerCalls { service, count, work })
}

/// The rates, run times and server speeds of the sites; speeds repeat in the order of the servers.
const SITES: [Site; 2] = [
    Site {
        name: "bodega-carros",
        slots: 12.0,
        services: [
            Service { name: "bays", speeds: &[0.7, 0.7, 1.7, 0.7] },
            Service { name: "traslados", speeds: &[0.5, 1.0, 1.0, 1.5] },
            Service { name: "taller", speeds: &[0.5, 1.0, 1.0, 1.5] },
            Service { name: "utileria", speeds: &[0.6, 1.0, 1.4, 0.6] },
        ],
        kinds: [
            RequestKind {
                name: "bay-lookup",
                service: 0,
                rate: 115.0,
                work: 0.16,
                inner: inner(1, 1.4, 0.04),
            },
            RequestKind {
                name: "move-booking",
                service: 1,
                rate: 64.6,
                work: 0.21,
                inner: inner(2, 1.4, 0.04),
            },
            RequestKind {
                name: "repair-history",
                service: 2,
                rate: 67.4,
                work: 0.4,
                inner: inner(3, 0.7, 0.04),
            },
            RequestKind { name: "prop-inventory", service: 3, rate: 30.9, work: 0.64, inner: None },
        ],
    },
    Site {
        name: "cala-mesh",
        slots: 12.0,
        services: [
            Service { name: "berthdesk", speeds: &[0.55, 1.2, 1.2] },
            Service { name: "transferbook", speeds: &[0.7, 0.7, 1.6] },
            Service { name: "fleetboard", speeds: &[0.7, 0.7, 1.6] },
            Service { name: "tankwatch", speeds: &[0.7, 0.7, 1.6] },
        ],
        kinds: [
            RequestKind {
                name: "slot-lookup",
                service: 0,
                rate: 299.0,
                work: 0.06,
                inner: inner(1, 1.4, 0.015),
            },
            RequestKind {
                name: "transfer-booking",
                service: 1,
                rate: 149.0,
                work: 0.078,
                inner: inner(2, 1.4, 0.015),
            },
            RequestKind {
                name: "vessel-status",
                service: 2,
                rate: 135.0,
                work: 0.15,
                inner: inner(3, 0.7, 0.015),
            },
            RequestKind { name: "water-report", service: 3, rate: 61.1, work: 0.24, inner: None },
        ],
    },
];

/// Returns the number of slots that the requests of a site keep busy at servers of `service` with
/// speed 1.
fn demand(site: &Site, service: usize, load: f64) -> f64 {
    let own_slots = |kind: &RequestKind| {
        let inner_time = kind.inner.as_ref().map_or(0.0, |inner| inner.count * inner.work);
        if kind.service == service { kind.rate * (kind.work + inner_time) } else { 0.0 }
    };
    let called_slots = |kind: &RequestKind| match &kind.inner {
        Some(inner) if inner.service == service => kind.rate * inner.count * inner.work,
        _ => 0.0,
    };
    load * site.kinds.iter().map(|kind| own_slots(kind) + called_slots(kind)).sum::<f64>()
}

fn main() -> ExitCode {
    let load = std::env::args().nth(1).map_or(Ok(1.0), |text| text.parse::<f64>());
    let Ok(load) = load else {
        eprintln!("expected a number such as 1.25");
        return ExitCode::FAILURE;
    };
    for site in &SITES {
        println!("{} at {load} times the usual load", site.name);
        for (n, service) in site.services.iter().enumerate() {
            let capacity = site.slots * service.speeds.iter().sum::<f64>();
            let used = demand(site, n, load) / capacity;
            let bar = "#".repeat((used * 30.0).min(60.0) as usize);
            let served = (1.0 / used).min(1.0);
            println!(
                "  {:14} {:5.0}% used, {:4.0}% could be served {bar}",
                service.name,
                used * 100.0,
                served * 100.0
            );
        }
        for kind in &site.kinds {
            println!(
                "  {:16} {:6.1}/s to {}",
                kind.name,
                kind.rate * load,
                site.services[kind.service].name
            );
        }
    }
    ExitCode::SUCCESS
}
