//! What came of asking the nodes.

use almondsail_wire::operator as wire;

use crate::delivery::NodeFailure;

/// What came of asking the nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryResult<T> {
    /// A node answered.
    Answered(T),
    /// A node refused to carry out the request; nothing was changed.
    Refused(wire::Error),
    /// A command was sent, and no node said how it ended.
    InDoubt(Vec<NodeFailure>),
    /// No node got the request.
    NoNode(Vec<NodeFailure>),
}
