//! A request to a node.

use bytes::Bytes;
use http::Method;

/// A request to a node.
#[derive(Debug, Clone)]
pub struct NodeRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The JSON text; empty for none.
    pub body: Bytes,
}
