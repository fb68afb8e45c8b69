//! A service.

use crate::ids::{ServiceName, TeamName, VersionName};

/// A service, owned by one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The team whose operators may change the service.
    pub team: TeamName,
    /// The version that takes the traffic that no rollout moves.
    /// Names a version of this service that exists; `None` until the first one is created.
    pub stable: Option<VersionName>,
}
