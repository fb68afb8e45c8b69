//! The events that the control state takes.

use std::sync::Arc;

use crate::config::StopMark;
use crate::control::{PeerFailure, PeerMessage, RequestId};
use crate::ids::WriteId;
use crate::peers::AnnouncedBackend;
use crate::report::{Cost, EndedCalls};
use crate::rollout::CountedCalls;
use crate::store::{StoreReply, Submission};

/// An event that the control state takes.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. Comes at least every 100 ms.
    Tick,
    /// A peer sent a request, to be answered by one [`Action::Reply`](crate::control::Action).
    PeerRequest {
        /// Matches the reply.
        id: RequestId,
        /// The request.
        message: PeerMessage,
    },
    /// A request to a peer ended.
    PeerReply {
        /// The request.
        id: RequestId,
        /// The reply.
        reply: Result<PeerMessage, PeerFailure>,
    },
    /// A request to the store ended.
    StoreReply {
        /// The request.
        id: RequestId,
        /// The reply.
        reply: StoreReply,
    },
    /// The backend server beside this node announced itself; repeated as a heartbeat.
    BackendAnnounced(AnnouncedBackend),
    /// The backend server beside this node said that it leaves.
    BackendLeaving,
    /// An operator, or the driver of a rollout, submits a change.
    Submit {
        /// Matches the outcome.
        id: RequestId,
        /// The change.
        submission: Submission,
    },
    /// An operator asks how the change with this write id ended.
    AskOutcome {
        /// Matches the outcome.
        id: RequestId,
        /// The change's write id.
        write_id: WriteId,
    },
    /// The calls that this node counted since the last such event.
    CallsCounted(Vec<CountedCalls>),
    /// The calls that entered the mesh here and ended since the last such event.
    CallsEnded(Vec<EndedCalls>),
    /// The cost of this process since its start.
    CostRead(Cost),
    /// This node saw that a version must be stopped.
    VersionFailed {
        /// The marks to set.
        marks: Vec<StopMark>,
        /// Why, in one sentence.
        reason: Arc<str>,
    },
    /// This process is asked to stop.
    StopRequested,
}
