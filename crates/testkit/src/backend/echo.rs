//! The answer of a backend server.

use almondsail_core::ids::Digest;
use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};

/// The answer of a backend server, which repeats what it received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service that answers.
    pub service: String,
    /// The version that answers.
    pub version: String,
    /// The id of the process that answers.
    pub process: u32,
    /// The request's method.
    pub method: String,
    /// The request's path and query.
    pub path: String,
    /// The SHA-256 digest of the request's body, as hexadecimal text.
    pub body_sha256: String,
    /// The request's idempotency key.
    pub key: Option<String>,
    /// The number of this execution in this process, from 1.
    pub execution: u64,
}

impl Echo {
    /// An error that names the difference unless this answers the given request.
    pub fn check(&self, method: &str, path: &str, body: &[u8], key: Option<&str>) -> Result<()> {
        let digest = Digest::of(body).to_string();
        ensure!(self.method == method, "method {} instead of {method}", self.method);
        ensure!(self.path == path, "path {} instead of {path}", self.path);
        ensure!(self.body_sha256 == digest, "body {} instead of {digest}", self.body_sha256);
        ensure!(self.key.as_deref() == key, "key {:?} instead of {key:?}", self.key);
        Ok(())
    }
}
