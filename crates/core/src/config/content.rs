//! The content of a configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};

use crate::config::{Rollout, Route, ServerVersion, Service, StopMark};
use crate::ids::{RouteName, ServiceName};

/// The entries of a configuration, without its version and history.
///
/// [`check`](crate::config::check) decides whether it is valid.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigContent {
    /// The services of all teams by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The routes of all services by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// The versions of the backend servers of all services.
    pub versions: BTreeSet<ServerVersion>,
    /// The last rollout, open or ended, of each service that had one.
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// The stop marks, which keep versions from receiving traffic.
    pub stops: BTreeSet<StopMark>,
}

impl ConfigContent {
    /// Writes one line per entry in a fixed order.
    pub(crate) fn write_canonical(&self, out: &mut String) -> fmt::Result {
        for service in self.services.values() {
            let stable = service.stable.as_ref().map_or("", |v| v.as_str());
            writeln!(out, "service {} {} {stable}", service.name, service.team)?;
        }
        for route in self.routes.values() {
            writeln!(
                out,
                "route {} {} {} {} {} {}",
                route.name,
                route.service,
                route.prefix,
                route.priority,
                route.idempotent,
                route.deadline
            )?;
        }
        for version in &self.versions {
            writeln!(out, "version {} {}", version.service, version.version)?;
        }
        for rollout in self.rollouts.values() {
            writeln!(
                out,
                "rollout {} {} {} {} {} {} {} {} {} {}",
                rollout.service,
                rollout.from,
                rollout.to,
                rollout.started,
                rollout.deadline,
                rollout.phase,
                rollout.share,
                rollout.non_idempotent_share,
                rollout.changed,
                rollout.reason
            )?;
        }
        for stop in &self.stops {
            let route = stop.route.as_ref().map_or("", |r| r.as_str());
            writeln!(out, "stop {} {} {route}", stop.service, stop.version)?;
        }
        Ok(())
    }
}
