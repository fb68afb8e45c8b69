//! Keys of call counters.

use almondsail_core::ids::{RouteName, ServiceName, VersionName};

use super::CountingRole;

/// The calls that a set of counters counts: those of a route and version at one point of the path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CounterKey {
    /// The node on the path of the calls that counts them.
    pub at: CountingRole,
    /// The route and its service; `None` for calls that match no route.
    pub route: Option<(ServiceName, RouteName)>,
    /// The version; `None` for calls that were not sent to a backend server.
    pub version: Option<VersionName>,
}
