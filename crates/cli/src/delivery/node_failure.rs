//! Why one node did not carry out a request.

use std::net::SocketAddr;

/// A node that did not carry out a request, and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeFailure {
    /// Address of the node's operator port.
    pub node: SocketAddr,
    /// Reason of the failure, as a predicate that follows the node's address in an error message.
    pub problem: String,
}
