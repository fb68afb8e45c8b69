//! The doors at which a service can be called.

use std::net::SocketAddr;

use crate::fleet::VersionRule;
use crate::ids::{BackendId, DataCentre, NodeId, VersionName};
use crate::units::Instant;

/// The doors at which a service can be called, and the versions that may take calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceDoors {
    /// The doors whose backend server takes calls.
    pub doors: Vec<RemoteDoor>,
    /// The versions that may take calls.
    pub rule: VersionRule,
}

/// The door of a node, this one's included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemoteDoor {
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
    /// Whether the node was not heard lately.
    pub is_silent: bool,
}

impl ServiceDoors {
    /// Whether a rollout sends all calls to its new version.
    pub fn is_full_shift(&self, now: Instant) -> bool {
        matches!(&self.rule, VersionRule::Shift(shift) if shift.is_full(now))
    }

    /// Whether `door` is of the new version of a rollout under way, whose calls must run to
    /// their end to be judged.
    pub fn is_judged(&self, door: &RemoteDoor) -> bool {
        matches!(&self.rule, VersionRule::Shift(shift) if shift.target == door.version)
    }
}
