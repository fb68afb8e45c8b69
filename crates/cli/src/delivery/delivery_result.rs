//! The result of sending a request to the nodes in order.

use almondsail_wire::operator as wire;

use crate::delivery::NodeFailure;

/// The result of sending a request to the nodes in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryResult<T> {
    /// A node carried out the request and gave this answer.
    Answered(T),
    /// A node refused to carry out the request; nothing was changed. Holds the error that it gave.
    Refused(wire::Error),
    /// A command was sent and may take effect, but no node said how it ended.
    InDoubt(Vec<NodeFailure>),
    /// No node answered a query, or none received a command.
    NoNode(Vec<NodeFailure>),
}
