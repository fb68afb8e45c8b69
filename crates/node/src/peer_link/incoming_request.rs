//! A request of another node.

use almondsail_core::control::PeerMessage;
use tokio::sync::oneshot;

/// A request of another node and the way to answer it.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The request.
    pub message: PeerMessage,
    /// Takes the reply.
    pub reply: oneshot::Sender<PeerMessage>,
}
