//! A route.

use std::sync::Arc;

use crate::fleet::Destination;
use crate::ids::{RouteName, ServiceName};
use crate::units::Millis;

/// Where the calls of one host and path prefix go, and how they may be handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeshRoute {
    /// The route's name.
    pub name: RouteName,
    /// The host in lower case, without a port.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller waits.
    pub timeout: Millis,
    /// The time within which an answer has its full worth.
    pub target_latency: Millis,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The largest number of backend servers at which one call arrives. At least 1.
    pub max_attempts: u32,
    /// At least one; the sum of the weights is above zero.
    pub destinations: Vec<Destination>,
}

impl MeshRoute {
    /// The destination for `draw`, a number below [`Self::weight`].
    pub fn destination(&self, draw: u32) -> &ServiceName {
        let mut rest = draw;
        for destination in &self.destinations {
            if rest < destination.weight {
                return &destination.service;
            }
            rest -= destination.weight;
        }
        &self.destinations[0].service
    }

    /// The sum of the destinations' weights.
    pub fn weight(&self) -> u32 {
        self.destinations.iter().map(|destination| destination.weight).sum()
    }
}
