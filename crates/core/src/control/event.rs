//! Events handled by the control state.

use std::sync::Arc;

use crate::config::StopMark;
use crate::control::{PeerFailure, PeerMessage, RequestId};
use crate::ids::WriteId;
use crate::peers::AnnouncedBackend;
use crate::report::{Cost, EndedCalls};
use crate::rollout::CountedCalls;
use crate::store::{StoreReply, Submission};

/// An event handled by the control state.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. Sent at least every 100 ms.
    Tick,
    /// A peer sent a request, to be answered by one [`Action::Reply`](crate::control::Action).
    PeerRequest {
        /// Identifies the request in the action that answers it.
        id: RequestId,
        /// Request message of the peer.
        message: PeerMessage,
    },
    /// A request to a peer ended.
    PeerReply {
        /// Id of the `Send` action that made the request.
        id: RequestId,
        /// Reply message, or the reason why there is none.
        reply: Result<PeerMessage, PeerFailure>,
    },
    /// A request to the store ended.
    StoreReply {
        /// Id of the `Store` action that made the request.
        id: RequestId,
        /// Result of the request, which may be a failure.
        reply: StoreReply,
    },
    /// The backend server beside this node announced itself. Repeated as a heartbeat.
    BackendAnnounced(AnnouncedBackend),
    /// The backend server beside this node said that it leaves.
    BackendLeaving,
    /// An operator, or the driver of a rollout, submits a change.
    Submit {
        /// Identifies the submission in the action that reports its outcome.
        id: RequestId,
        /// Change to write to the store, with its submitter and conditions.
        submission: Submission,
    },
    /// An operator asks how the change with this write id ended.
    QueryOutcome {
        /// Identifies the query in the action that reports the outcome.
        id: RequestId,
        /// Write id under which the change was submitted.
        write_id: WriteId,
    },
    /// The calls that this node counted since the last such event.
    CallsCounted(Vec<CountedCalls>),
    /// The calls that entered the mesh here and ended since the last such event.
    CallsEnded(Vec<EndedCalls>),
    /// The cost counters of this process were read. The values are totals since its start.
    CostRead(Cost),
    /// This node found that a backend server version must be stopped.
    VersionFailed {
        /// Stop marks to put in force on every node.
        marks: Vec<StopMark>,
        /// Reason for the stop, in one sentence.
        reason: Arc<str>,
    },
    /// This process is asked to stop.
    StopRequested,
}
