//! A version in the answer to a query.

use crate::config::{ServerVersion, StopMark};
use crate::operators::VersionRole;

/// A version with its role, stop marks and number of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRow {
    /// The service and the name of the version.
    pub version: ServerVersion,
    /// The role that the configuration in force gives the version.
    pub role: VersionRole,
    /// The version's stop marks, both from peers and from the configuration.
    pub stops: Vec<StopMark>,
    /// The number of backend servers of this version that accept calls.
    pub servers: usize,
}
