//! HTTP clients for callers' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// How long a test waits for one answer before it fails.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A complete answer as a caller received it.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerAnswer {
    /// Returns the verdict and the reason of a failed call; both are empty after a success.
    pub fn failure(&self) -> (&str, &str) {
        let text = |name| self.headers.get(name).map_or("", |v| v.to_str().unwrap());
        (text("almondsail-verdict"), text("almondsail-reason"))
    }
}

/// Builds a request with `headers` and `body`.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(method).uri(path).header("host", "mesh");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::copy_from_slice(body))).unwrap()
}

/// Sends `request` over a new connection; `None` if no complete answer arrived.
pub async fn send(addr: SocketAddr, request: Request<Full<Bytes>>) -> Option<CallerAnswer> {
    let exchange = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (mut sender, conn) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(conn);
        let response = sender.send_request(request).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        drop(task);
        Some(CallerAnswer { status: parts.status, headers: parts.headers, body })
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.expect("an answer or a closed connection")
}

pub async fn get(addr: SocketAddr, path: &str) -> Option<CallerAnswer> {
    send(addr, request("GET", path, &[], b"")).await
}

pub async fn post(addr: SocketAddr, path: &str, body: &[u8]) -> Option<CallerAnswer> {
    send(addr, request("POST", path, &[], body)).await
}

/// Sends `bytes` over a new connection and reads until it closes.
pub async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let _ = stream.write_all(bytes).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        answer
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.expect("the connection closes")
}
