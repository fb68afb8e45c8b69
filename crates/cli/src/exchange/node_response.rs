//! The answer of a node.

use bytes::Bytes;
use http::StatusCode;

/// The answer of a node.
#[derive(Debug, Clone)]
pub struct NodeResponse {
    /// The status.
    pub status: StatusCode,
    /// The JSON text.
    pub body: Bytes,
}
