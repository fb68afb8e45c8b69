//! What the control thread takes from the other threads.

use almondsail_core::control::Event;

use crate::peer_link::IncomingRequest;

/// What the control thread takes from the other threads.
#[derive(Debug)]
pub enum ControlInput {
    /// An event without an answer.
    Event(Event),
    /// A request of another node.
    Peer(IncomingRequest),
}
