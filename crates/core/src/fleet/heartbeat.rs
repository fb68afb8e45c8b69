//! The message that nodes send each other.

use crate::fleet::{
    BackendStatus, Confirmation, Departure, EvacuationDigest, HeartbeatPart, NodeDigest, NodeEntry,
    RolloutReport,
};
use crate::ids::{ConfigVersion, Incarnation};

/// The message that a node sends to others, at intervals and after each change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The id and addresses of the sender.
    pub entry: NodeEntry,
    /// Distinguishes this start of the sender from earlier ones.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of one start of the sender.
    pub sequence: u64,
    /// The sequence number of the sender's first heartbeat with this entry, backend server and state
    /// of leaving and of the store; at most `sequence`.
    pub revision: u64,
    /// The version of the sender's configuration in force; zero if there is none.
    pub config_version: ConfigVersion,
    /// Whether the store answered the sender's last request.
    pub is_store_reached: bool,
    /// Whether the sender is about to stop.
    pub is_leaving: bool,
    /// The backend server beside the sender; `None` while none takes calls.
    pub backend: Option<BackendStatus>,
    /// Backend servers that have left, as far as the sender reports them.
    pub departures: Vec<Departure>,
    /// The state of the rollouts that the sender knows.
    pub rollouts: Vec<RolloutReport>,
    /// The evacuation orders and withdrawals that the sender knows; `None` if there were none.
    pub evacuations: Option<Box<EvacuationDigest>>,
    /// The last proof that the operator's keys are known completely; `None` if the sender knows of
    /// none.
    pub confirmation: Option<Confirmation>,
    /// What the sender passes on about other nodes; `None` if nothing.
    pub digest: Option<Box<NodeDigest>>,
}

impl Heartbeat {
    /// Leaves out a part of the heartbeat. Returns whether it had the part.
    pub fn leave_out(&mut self, part: HeartbeatPart) -> bool {
        match part {
            HeartbeatPart::Digest => self.digest.take().is_some(),
            HeartbeatPart::RouteEvidence => {
                let evidence =
                    self.rollouts.iter_mut().filter_map(|report| report.evidence.as_mut());
                evidence.fold(false, |had_part, evidence| evidence.leave_out_routes() | had_part)
            }
            HeartbeatPart::Rollouts => !std::mem::take(&mut self.rollouts).is_empty(),
        }
    }

    /// Returns how many heartbeats the sender has sent since its entry, backend server or state of
    /// leaving or of the store changed.
    pub const fn content_age(&self) -> u64 {
        self.sequence.saturating_sub(self.revision)
    }
}
