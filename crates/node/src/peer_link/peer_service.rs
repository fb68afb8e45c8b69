//! The service that nodes offer each other.

// The attribute makes types without documentation of their own.
#![allow(missing_docs)]

use almondsail_wire::peer::SealedFrame;

/// The service that nodes offer each other.
#[tarpc::service]
pub trait PeerService {
    /// Takes a sealed request and returns the sealed reply, or `None` if the
    /// request was refused as malformed or not authenticated.
    async fn exchange(request: SealedFrame) -> Option<SealedFrame>;
}
