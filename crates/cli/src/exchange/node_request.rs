//! An HTTP request to a node.

use bytes::Bytes;
use http::Method;

/// An HTTP request to a node's operator port, without the headers that the client adds.
#[derive(Debug, Clone)]
pub struct NodeRequest {
    /// HTTP method: `GET` for outcomes and reports, `POST` for queries and commands.
    pub method: Method,
    /// Path of the URL with its query string.
    pub path: String,
    /// JSON text of the body; empty for a request without a body.
    pub body: Bytes,
}
