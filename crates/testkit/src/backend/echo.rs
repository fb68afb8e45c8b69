//! The answer of the test backend server.

use almondsail_core::ids::Digest;
use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};

/// The answer of the test backend server, which echoes the request that it received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service of the backend server that answered.
    pub service: String,
    /// The software version of the backend server that answered.
    pub version: String,
    /// The operating system's id of the process that answered.
    pub process: u32,
    /// The HTTP method of the request.
    pub method: String,
    /// The path and query of the request's target.
    pub path: String,
    /// The SHA-256 digest of the request's body, as hexadecimal text.
    pub body_sha256: String,
    /// The request's idempotency key, if it had one.
    pub key: Option<String>,
    /// The number of this execution within the process, counted from 1.
    pub execution: u64,
}

impl Echo {
    /// Checks that this is the answer to the given request.
    ///
    /// The error names the first part that differs.
    pub fn check(&self, method: &str, path: &str, body: &[u8], key: Option<&str>) -> Result<()> {
        let digest = Digest::of(body).to_string();
        ensure!(self.method == method, "method {} instead of {method}", self.method);
        ensure!(self.path == path, "path {} instead of {path}", self.path);
        ensure!(self.body_sha256 == digest, "body {} instead of {digest}", self.body_sha256);
        ensure!(self.key.as_deref() == key, "key {:?} instead of {key:?}", self.key);
        Ok(())
    }
}
