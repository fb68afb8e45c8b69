//! A route.

use crate::config::{PathPrefix, Priority};
use crate::ids::{RouteName, ServiceName};
use crate::units::Millis;

/// A route from request paths to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The service that answers. It exists and has a stable version.
    pub service: ServiceName,
    /// The paths that the route takes. No other route has the same prefix.
    pub prefix: PathPrefix,
    /// Which calls go first.
    pub priority: Priority,
    /// Whether a call may run more than once without harm.
    pub idempotent: bool,
    /// The longest time that a call may take; more than zero.
    pub deadline: Millis,
}
