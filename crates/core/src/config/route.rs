//! A route from request paths to a service.

use crate::config::{PathPrefix, Priority};
use crate::ids::{RouteName, ServiceName};
use crate::units::Millis;

/// A route from request paths to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route, unique over all services.
    pub name: RouteName,
    /// The service that answers the calls. It exists and has a stable version.
    pub service: ServiceName,
    /// The prefix of the request paths that the route matches. No other route has the same one.
    pub prefix: PathPrefix,
    /// The priority of the route's calls in the queue of a backend server.
    pub priority: Priority,
    /// Whether running a call more than once has the same effect as running it once.
    pub idempotent: bool,
    /// The maximum duration of a call, from 1 ms to 600,000 ms.
    pub deadline: Millis,
}
