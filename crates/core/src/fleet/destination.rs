//! A service among the destinations of a route.

use crate::ids::ServiceName;

/// A service that takes a part of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service that takes the calls.
    pub service: ServiceName,
    /// The share of the route's calls, relative to the weights of its other destinations.
    pub weight: u32,
}
