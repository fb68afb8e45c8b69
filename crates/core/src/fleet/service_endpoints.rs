//! The endpoints of a service.

use std::net::SocketAddr;

use crate::fleet::VersionRule;
use crate::ids::{BackendId, DataCentre, NodeId, VersionName};
use crate::units::Instant;

/// The endpoints of a service, and the versions that may take calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEndpoints {
    /// The endpoints whose backend server takes calls.
    pub endpoints: Vec<Endpoint>,
    /// The versions that may take calls.
    pub rule: VersionRule,
}

/// A backend server that takes calls, reached through the node beside it; this node's own is
/// included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// Where it takes calls of other nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The backend server beside it.
    pub backend: BackendId,
    /// The version of the backend server.
    pub version: VersionName,
    /// How many calls the backend server runs at a time.
    pub slots: u32,
    /// Whether the backend server still runs slowly after its start.
    pub is_cold: bool,
    /// Whether the node sent no heartbeat lately.
    pub is_silent: bool,
}

impl ServiceEndpoints {
    /// Whether a rollout sends all calls to its new version.
    pub fn is_full_shift(&self, now: Instant) -> bool {
        matches!(&self.rule, VersionRule::Shift(shift) if shift.is_full(now))
    }

    /// Whether `endpoint` is of the new version of a rollout under way, whose calls must run to
    /// their end to be judged.
    pub fn is_judged(&self, endpoint: &Endpoint) -> bool {
        matches!(&self.rule, VersionRule::Shift(shift) if shift.target == endpoint.version)
    }
}
