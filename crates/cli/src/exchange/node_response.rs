//! An HTTP response of a node.

use bytes::Bytes;
use http::StatusCode;

/// An HTTP response of a node.
#[derive(Debug, Clone)]
pub struct NodeResponse {
    /// HTTP status; a success if the node carried out the request.
    pub status: StatusCode,
    /// Unparsed JSON text: an answer, or an error object if the status is no success.
    pub body: Bytes,
}
