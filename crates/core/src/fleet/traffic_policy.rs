//! Which share of calls the endpoints of a service may take.

use crate::fleet::{BackendStatus, Endpoint, VersionRule};
use crate::units::{Instant, PerMille};

/// Decides which share of its usual calls an endpoint may take, by the rollout of its service and
/// the evacuation of its data centre. A backend server that drains has no endpoint.
#[derive(Debug, Clone, Copy)]
pub struct TrafficPolicy<'a> {
    /// When the calls are sent.
    pub now: Instant,
    /// The versions that may take calls.
    pub rule: &'a VersionRule,
    /// Whether the calls go to the new version of a rollout.
    pub to_new: bool,
}

impl TrafficPolicy<'_> {
    /// Returns the backend server beside a node if it may take new calls: it does not drain, and
    /// its node is not about to stop.
    pub fn open_backend(
        is_leaving: bool,
        backend: Option<&BackendStatus>,
    ) -> Option<&BackendStatus> {
        backend.filter(|_| !is_leaving)
    }

    /// Returns the share of calls that `endpoint` may take.
    pub fn share(&self, endpoint: &Endpoint) -> PerMille {
        if self.rule.allows(&endpoint.version, self.to_new) {
            endpoint.ramp.share(self.now)
        } else {
            PerMille::ZERO
        }
    }
}
