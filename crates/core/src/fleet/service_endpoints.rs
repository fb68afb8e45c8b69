//! The endpoints of a service.

use std::net::SocketAddr;

use crate::fleet::{TrafficPolicy, TrafficRamp, VersionRule};
use crate::ids::{BackendId, DataCentre, NodeId, VersionName};
use crate::units::{CallRate, Instant};

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
    /// The rate of calls that the backend server can take while it is cold; `None` if it is warm
    /// or its service has no limit.
    pub cold_rate: Option<CallRate>,
    /// The share of its calls that the endpoint may take by the evacuation of its data centre.
    pub ramp: TrafficRamp,
    /// Whether the endpoint's node sent no heartbeat recently.
    pub is_silent: bool,
}

impl ServiceEndpoints {
    /// Returns the policy for calls at `now` that go to the new version of a rollout or not.
    pub const fn policy(&self, now: Instant, to_new: bool) -> TrafficPolicy<'_> {
        TrafficPolicy { now, rule: &self.rule, to_new }
    }

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
