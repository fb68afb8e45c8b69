//! The endpoints of a service.

use std::net::SocketAddr;

use crate::fleet::VersionRule;
use crate::ids::{BackendId, DataCentre, NodeId, VersionName};
use crate::units::Instant;

/// The endpoints of a service and the versions that may take calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEndpoints {
    /// The endpoints whose backend server takes calls.
    pub endpoints: Vec<Endpoint>,
    /// The versions that may take calls, by the rollout of the service.
    pub rule: VersionRule,
}

/// A backend server that takes calls through the node beside it. The server beside this node is
/// included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The id of the node beside the backend server.
    pub node: NodeId,
    /// The address at which the endpoint's node takes calls of other nodes.
    pub address: SocketAddr,
    /// The data centre that the endpoint's node runs in.
    pub data_centre: DataCentre,
    /// The id of the backend server.
    pub backend: BackendId,
    /// The version of the backend server's software.
    pub version: VersionName,
    /// The number of calls that the backend server runs at a time.
    pub slots: u32,
    /// Whether the backend server still runs slowly after its start.
    pub is_cold: bool,
    /// Whether the endpoint's node sent no heartbeat recently.
    pub is_silent: bool,
}

impl ServiceEndpoints {
    /// Returns whether a rollout sends all calls to its new version at `now`.
    pub fn is_full_shift(&self, now: Instant) -> bool {
        matches!(&self.rule, VersionRule::Shift(shift) if shift.is_full(now))
    }

    /// Returns whether `endpoint` has the new version of a running rollout, whose calls must run to
    /// their end to be judged.
    pub fn is_judged(&self, endpoint: &Endpoint) -> bool {
        matches!(&self.rule, VersionRule::Shift(shift) if shift.target == endpoint.version)
    }
}
