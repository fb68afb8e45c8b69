//! A version in the answer to an operator.

use crate::config::{ServerVersion, StopMark};
use crate::operators::VersionRole;

/// A version, the part that it plays, and its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRow {
    /// The version.
    pub version: ServerVersion,
    /// The part that it plays.
    pub role: VersionRole,
    /// The marks that stop it, heard from peers or kept in the configuration.
    pub stops: Vec<StopMark>,
    /// Number of its backend servers that take calls.
    pub servers: usize,
}
