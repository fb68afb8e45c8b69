//! A version of the backend servers of a service.

use crate::ids::{ServiceName, VersionName};

/// A version of the backend servers of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerVersion {
    /// The service that the backend servers provide. It exists.
    pub service: ServiceName,
    /// The name of the version, unique within the service.
    pub version: VersionName,
}
