//! What a cell of counters counts.

use almondsail_core::ids::{RouteName, ServiceName, VersionName};

use super::CountedAt;

/// What a cell of counters counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CountKey {
    /// Where the calls were counted.
    pub at: CountedAt,
    /// The route and its service; `None` for calls that match no route.
    pub route: Option<(ServiceName, RouteName)>,
    /// The version; `None` for calls that were not sent to a backend server.
    pub version: Option<VersionName>,
}
