//! A service of the mesh.

use crate::ids::{ServiceName, TeamName, VersionName};

/// A service, owned by one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name of the service, unique over all teams.
    pub name: ServiceName,
    /// The team whose operators may change the service.
    pub team: TeamName,
    /// The version that takes all traffic that no rollout moves. It exists; `None` until the
    /// service's first version is created.
    pub stable: Option<VersionName>,
}
