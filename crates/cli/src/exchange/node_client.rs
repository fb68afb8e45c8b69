//! The HTTP client for the operator ports of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::exchange::{ExchangeError, NodeRequest, NodeResponse};

/// Maximum size of a response body in bytes, which leaves room for a configuration of 1 MB in JSON.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Sends HTTP requests to nodes, authenticated by an operator's token.
#[derive(Debug, Clone)]
pub struct NodeClient {
    token: String,
    timeout: Duration,
}

impl NodeClient {
    /// Creates a client that sends `token` as the bearer token and gives each exchange, including
    /// the connect, at most `timeout`.
    pub const fn new(token: String, timeout: Duration) -> Self {
        Self { token, timeout }
    }

    /// Sends a request to `node` on a new connection and waits for the response.
    pub async fn exchange(
        &self,
        node: SocketAddr,
        request: &NodeRequest,
    ) -> Result<NodeResponse, ExchangeError> {
        let timeout_text =
            || format!("no answer within {}", humantime::format_duration(self.timeout));
        let deadline = tokio::time::Instant::now() + self.timeout;
        let stream = match tokio::time::timeout_at(deadline, TcpStream::connect(node)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(ExchangeError::NotSent(e.to_string())),
            Err(_) => return Err(ExchangeError::NotSent(timeout_text())),
        };
        let request =
            self.http_request(node, request).map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        match tokio::time::timeout_at(deadline, send(stream, request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(problem)) => Err(ExchangeError::AnswerLost(problem)),
            Err(_) => Err(ExchangeError::AnswerLost(timeout_text())),
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

async fn send(stream: TcpStream, request: Request<Full<Bytes>>) -> Result<NodeResponse, String> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let exchange = async {
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        Ok(NodeResponse { status, body })
    };
    // Polls the connection, which does the socket's input and output. An error of the connection
    // is reported by `exchange`, so that this future never completes.
    let drive = async {
        let _ = connection.await;
        std::future::pending().await
    };
    tokio::select! {
        response = exchange => response,
        never = drive => never,
    }
}
