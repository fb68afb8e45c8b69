//! A node that did not help.

use std::net::SocketAddr;

/// A node that did not help, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeFailure {
    /// The node.
    pub node: SocketAddr,
    /// Why, as a part of a sentence.
    pub problem: String,
}
