//! A service that takes a part of a route's calls.

use crate::ids::ServiceName;

/// A service that takes a part of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its part, in relation to the weights of the route's other destinations.
    pub weight: u32,
}
