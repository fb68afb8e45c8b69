//! One exchange of messages with a node.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Number of bytes of an answer at most: room for a configuration of 1 MB in JSON.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A request to a node.
#[derive(Debug, Clone)]
pub struct NodeRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The JSON text; empty for none.
    pub body: Bytes,
}

/// The answer of a node.
#[derive(Debug, Clone)]
pub struct NodeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The JSON text.
    pub body: Bytes,
}

/// Why a node did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeError {
    /// There was no connection, so the node did not get the request.
    NotSent(String),
    /// The request was sent, in part or in whole, and the answer is missing.
    Lost(String),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(problem) => write!(f, "can't be reached: {problem}"),
            Self::Lost(problem) => write!(f, "gave no complete answer: {problem}"),
        }
    }
}

impl std::error::Error for ExchangeError {}

/// Asks nodes with an operator's token.
#[derive(Debug, Clone)]
pub struct NodeClient {
    token: String,
    timeout: Duration,
}

impl NodeClient {
    /// Asks with `token`; one exchange takes at most `timeout`.
    pub const fn new(token: String, timeout: Duration) -> Self {
        Self { token, timeout }
    }

    /// Sends a request to `node` on a new connection and waits for the answer.
    pub async fn exchange(
        &self,
        node: SocketAddr,
        request: &NodeRequest,
    ) -> Result<NodeAnswer, ExchangeError> {
        let late = || format!("no answer within {}", humantime::format_duration(self.timeout));
        let deadline = tokio::time::Instant::now() + self.timeout;
        let stream = match tokio::time::timeout_at(deadline, TcpStream::connect(node)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(ExchangeError::NotSent(e.to_string())),
            Err(_) => return Err(ExchangeError::NotSent(late())),
        };
        let request =
            self.http_request(node, request).map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        match tokio::time::timeout_at(deadline, send(stream, request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(problem)) => Err(ExchangeError::Lost(problem)),
            Err(_) => Err(ExchangeError::Lost(late())),
        }
    }

    fn http_request(
        &self,
        node: SocketAddr,
        request: &NodeRequest,
    ) -> http::Result<Request<Full<Bytes>>> {
        Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header(HOST, node.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()))
    }
}

async fn send(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<NodeAnswer, String> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let exchange = async {
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        Ok(NodeAnswer { status, body })
    };
    // The connection only moves bytes; a fault of it reaches the exchange as an error.
    let drive = async {
        let _ = connection.await;
        std::future::pending().await
    };
    tokio::select! {
        answer = exchange => answer,
        never = drive => never,
    }
}
