//! A service.

use crate::ids::{MemberName, ServiceName, VersionName};

/// A service, owned by one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The member whose operators may change the service.
    pub member: MemberName,
    /// The version that takes the traffic that no rollout moves.
    /// Names a version of this service that exists; `None` until the first one is created.
    pub stable: Option<VersionName>,
}
