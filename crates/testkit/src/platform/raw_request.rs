//! Requests that a raw worker received.

use std::net::SocketAddr;

use bytes::Bytes;

/// The head of a request that a [`RawWorker`](super::RawWorker) received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawRequest {
    /// The attempt id from the request's header; empty if absent.
    pub id: String,
    /// The path of the request.
    pub path: String,
    /// The length of the body.
    pub body_length: usize,
    /// The address of the worker.
    pub worker: SocketAddr,
    /// The number of the connection, counted from 0 over the life of the worker.
    pub connection: usize,
}

impl RawRequest {
    /// Parses the head of a request, which ends with an empty line.
    pub(super) fn parse(head: &str, worker: SocketAddr, connection: usize) -> Self {
        let mut lines = head.split("\r\n");
        let path = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
        let (mut id, mut body_length) = (String::new(), 0);
        for (name, value) in lines.filter_map(|line| line.split_once(": ")) {
            match name.to_ascii_lowercase().as_str() {
                "almondsail-attempt-id" => id = value.to_owned(),
                "content-length" => body_length = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        Self { id, path: path.to_owned(), body_length, worker, connection }
    }

    /// Returns a signed, complete answer to the request.
    pub fn answer(&self) -> Bytes {
        self.response("200 OK", "Almondsail-Server-Signature: s\r\n", "ran")
    }

    /// Returns a response that names the request and has `headers` and `body`.
    pub fn response(&self, status: &str, headers: &str, body: &str) -> Bytes {
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\nAlmondsail-Attempt-Id: {}\r\n{headers}Content-Length: {length}\
             \r\n\r\n{body}",
            self.id
        )
        .into()
    }
}
