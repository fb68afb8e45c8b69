//! A version of the backend servers of a service.

use crate::ids::{ServiceName, VersionName};

/// A version of the backend servers of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerVersion {
    /// The service. It exists.
    pub service: ServiceName,
    /// The version's name, unique within the service.
    pub version: VersionName,
}
