//! The tarpc service that nodes offer each other.

// `tarpc::service` generates undocumented types.
#![allow(missing_docs)]

use almondsail_wire::peer::SealedFrame;

/// The tarpc service that nodes offer each other.
#[tarpc::service]
pub trait PeerService {
    /// Handles a sealed request and returns the sealed reply, or `None` if the request is
    /// malformed, not authenticated or left unanswered.
    async fn exchange(request: SealedFrame) -> Option<SealedFrame>;
}
