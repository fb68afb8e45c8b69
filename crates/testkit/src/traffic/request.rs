//! A call to send through the mesh.

use bytes::Bytes;
use http::Method;

/// A call to send through the mesh.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// The HTTP method of the call.
    pub method: Method,
    /// The path and query of the request's target.
    pub target: String,
    /// The complete body; empty for a lookup.
    pub body: Bytes,
    /// The idempotency key; absent for a lookup.
    pub key: Option<String>,
}

impl CallRequest {
    /// Creates the `n`th lookup of a service: an idempotent call without a key.
    pub fn lookup(service: &str, n: u64) -> Self {
        Self {
            method: Method::GET,
            target: format!("/{service}/item?n={n}"),
            body: Bytes::new(),
            key: None,
        }
    }

    /// Creates the `n`th booking of a service by `caller`: a call with an idempotency key
    /// that must run at most once.
    pub fn booking(service: &str, caller: &str, n: u64) -> Self {
        Self {
            method: Method::POST,
            target: format!("/{service}/book/{n}"),
            body: Bytes::from(format!("booking {n} of {caller}")),
            key: Some(format!("{caller}-{service}-{n}")),
        }
    }
}
