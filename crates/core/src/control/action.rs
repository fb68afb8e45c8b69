//! Actions returned by the control state.

use std::net::SocketAddr;

use crate::control::{PeerMessage, RequestId, StateChange};
use crate::store::{Outcome, StoreRequest};
use crate::units::Millis;

/// An action that the control state asks the process around it to perform.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a request to a peer and report its reply or failure as [`Event::PeerReply`].
    ///
    /// [`Event::PeerReply`]: crate::control::Event::PeerReply
    Send {
        /// Identifies the request in the event that reports its reply.
        id: RequestId,
        /// Address at which the peer takes messages of other nodes.
        to: SocketAddr,
        /// Request message to send to the peer.
        message: PeerMessage,
        /// Time without a reply after which the request has failed.
        timeout: Millis,
    },
    /// Answer a peer's request.
    Reply {
        /// Id under which the peer's request was reported to the control state.
        id: RequestId,
        /// Reply message to send to the peer.
        message: PeerMessage,
    },
    /// Send a request to the store and report its reply or failure as [`Event::StoreReply`].
    ///
    /// [`Event::StoreReply`]: crate::control::Event::StoreReply
    Store {
        /// Identifies the request in the event that reports its reply.
        id: RequestId,
        /// Read, watch or write to perform on the store.
        request: StoreRequest,
    },
    /// Report the outcome of a change to its submitter, or to the operator that asked for it.
    Submitted {
        /// Id of the `Submit` or `QueryOutcome` event that this answers.
        id: RequestId,
        /// Result of the submitted change.
        outcome: Outcome,
    },
    /// Publish a new snapshot, because the state that traffic reads has changed.
    Publish,
    /// Log a change of the control state and count it in the metrics.
    Report(StateChange),
}
