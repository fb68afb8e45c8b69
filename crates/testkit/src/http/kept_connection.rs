//! An HTTP/1.1 connection that carries one request after another.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::Result;
use http::{HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Reply;

/// A client's HTTP/1.1 connection that carries one request after another. Closed when dropped.
#[derive(Debug)]
pub struct KeptConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
}

impl KeptConnection {
    /// Opens a connection to `address`.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = AbortOnDrop(tokio::spawn(connection));
        Ok(Self { address, sender, _driver: driver })
    }

    /// Sends a request with additional header fields and reads the whole answer, for as long as it
    /// takes.
    pub async fn send(
        &mut self,
        method: Method,
        target: &str,
        body: Bytes,
        headers: &[(&str, &str)],
    ) -> Result<Reply> {
        self.exchange(request(self.address, method, target, body, headers)?).await
    }

    /// Waits until the connection can carry a request; an error once it is closed.
    pub async fn ready(&mut self) -> Result<()> {
        Ok(self.sender.ready().await?)
    }

    pub(super) async fn exchange(&mut self, req: Request<Full<Bytes>>) -> Result<Reply> {
        let (parts, body) = self.sender.send_request(req).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply { status: parts.status, headers: parts.headers, body })
    }
}

/// Builds a request to the server at `address` with additional header fields.
pub(super) fn request(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: Bytes,
    headers: &[(&str, &str)],
) -> Result<Request<Full<Bytes>>> {
    let mut req = Request::builder().method(method).uri(target).body(Full::new(body))?;
    let host = HeaderValue::try_from(address.to_string())?;
    req.headers_mut().insert(http::header::HOST, host);
    for (name, value) in headers {
        req.headers_mut().insert(HeaderName::try_from(*name)?, HeaderValue::try_from(*value)?);
    }
    Ok(req)
}

/// Closes the connection when dropped, also if the request is cancelled.
#[derive(Debug)]
struct AbortOnDrop(tokio::task::JoinHandle<hyper::Result<()>>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
