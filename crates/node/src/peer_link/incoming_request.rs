//! A request received from another node.

use almondsail_core::control::PeerMessage;
use tokio::sync::oneshot;

/// A request received from another node, with the channel for its reply.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Decoded message, whose tag has been checked.
    pub message: PeerMessage,
    /// Channel to the connection's task, which seals and sends the reply. If it is dropped, the
    /// peer gets an empty reply.
    pub reply: oneshot::Sender<PeerMessage>,
}
