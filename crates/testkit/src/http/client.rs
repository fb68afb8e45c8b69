//! An HTTP/1.1 client without connection reuse.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Method, Request};
use http_body_util::Full;

use super::Reply;
use super::kept_connection::{KeptConnection, request};

/// An HTTP/1.1 client that opens a new connection for each request, so that a
/// fault in one request can't affect the next.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpClient {
    /// The default time limit of a request; generous, so that it is reached only by a hang.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

    /// Creates a client for the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, timeout: Self::DEFAULT_TIMEOUT }
    }

    /// Sets the time limit for a whole request, including connecting and reading the answer.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Returns the address to which requests are sent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request for `target`.
    pub async fn get(&self, target: &str) -> Result<Reply> {
        self.send(Method::GET, target, Bytes::new(), &[]).await
    }

    /// Sends a PUT request with `body` to `target`.
    pub async fn put(&self, target: &str, body: impl Into<Bytes>) -> Result<Reply> {
        self.send(Method::PUT, target, body.into(), &[]).await
    }

    /// Sends a POST request with `body` to `target`.
    pub async fn post(&self, target: &str, body: impl Into<Bytes>) -> Result<Reply> {
        self.send(Method::POST, target, body.into(), &[]).await
    }

    /// Sends a DELETE request for `target`.
    pub async fn delete(&self, target: &str) -> Result<Reply> {
        self.send(Method::DELETE, target, Bytes::new(), &[]).await
    }

    /// Sends a request with additional header fields and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
        headers: &[(&str, &str)],
    ) -> Result<Reply> {
        let what = format!("{method} {}{target}", self.address);
        let req = request(self.address, method, target, body, headers)?;
        tokio::time::timeout(self.timeout, self.exchange(req))
            .await
            .wrap_err_with(|| format!("{what}: no answer within {:?}", self.timeout))?
            .wrap_err(what)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Reply> {
        KeptConnection::connect(self.address).await?.exchange(req).await
    }
}
