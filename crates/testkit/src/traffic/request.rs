//! A call to be sent.

use bytes::Bytes;
use http::Method;

/// A call to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The body.
    pub body: Bytes,
    /// The idempotency key.
    pub key: Option<String>,
}

impl CallRequest {
    /// The `n`th lookup of a service, which is idempotent and has no key.
    pub fn lookup(service: &str, n: u64) -> Self {
        Self {
            method: Method::GET,
            target: format!("/{service}/item?n={n}"),
            body: Bytes::new(),
            key: None,
        }
    }

    /// The `n`th booking of a service by `caller`, which must run at most once.
    pub fn booking(service: &str, caller: &str, n: u64) -> Self {
        Self {
            method: Method::POST,
            target: format!("/{service}/book/{n}"),
            body: Bytes::from(format!("booking {n} of {caller}")),
            key: Some(format!("{caller}-{service}-{n}")),
        }
    }
}
