//! A route of the configuration.

use std::sync::Arc;

use crate::fleet::Destination;
use crate::ids::{RouteName, ServiceName};
use crate::units::Millis;

/// Defines where the calls of one host and path prefix go, and how they may be handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeshRoute {
    /// The name of the route, by which logs and statistics refer to it.
    pub name: RouteName,
    /// The host that callers address, in lower case and without a port.
    pub host: Arc<str>,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller waits for an answer.
    pub timeout: Millis,
    /// The time within which an answer has its full value.
    pub target_latency: Millis,
    /// The priority of the route's calls; 0 is the most urgent.
    pub priority: u8,
    /// The largest number of backend servers at which one call may arrive; at least 1.
    pub max_attempts: u32,
    /// Whether calls of the route need no credential.
    pub is_public: bool,
    /// The services that share the calls: at least one, with a sum of weights above zero.
    pub destinations: Vec<Destination>,
}

impl MeshRoute {
    /// Returns the service for `draw`, a number below [`Self::weight`].
    pub fn destination(&self, draw: u64) -> &ServiceName {
        let mut rest = draw;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if rest < weight {
                return &destination.service;
            }
            rest -= weight;
        }
        &self.destinations[0].service
    }

    /// Returns the sum of the destinations' weights.
    pub fn weight(&self) -> u64 {
        self.destinations.iter().map(|destination| u64::from(destination.weight)).sum()
    }
}
