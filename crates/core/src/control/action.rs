//! The actions that the control state asks for.

use std::net::SocketAddr;

use crate::control::{PeerMessage, RequestId, StateChange};
use crate::store::{Outcome, StoreRequest};
use crate::units::Millis;

/// An action that the control state asks for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a request to a peer and report its reply or failure.
    Send {
        /// Matches the reply.
        id: RequestId,
        /// The peer's address.
        to: SocketAddr,
        /// The request.
        message: PeerMessage,
        /// After this time the request counts as failed.
        timeout: Millis,
    },
    /// Answer a peer's request.
    Reply {
        /// The request.
        id: RequestId,
        /// The reply.
        message: PeerMessage,
    },
    /// Send a request to the store and report its reply or failure.
    Store {
        /// Matches the reply.
        id: RequestId,
        /// The request.
        request: StoreRequest,
    },
    /// Tell the submitter, or who asked for the outcome, how the change ended.
    Submitted {
        /// The submission.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The state that traffic reads has changed; publish a new snapshot.
    Publish,
    /// Log a change of state and count it.
    Report(StateChange),
}
