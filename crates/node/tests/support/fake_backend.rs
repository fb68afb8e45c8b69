//! A fake backend server that replies by a script of its test.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// A request that the fake backend server received.
#[derive(Debug, Clone)]
pub struct FakeRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl FakeRequest {
    /// Returns the path and query of the request line.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the value of header `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }
}

/// The bytes and timing of the reply to a request.
#[derive(Debug, Clone)]
pub struct FakeReply {
    pub delay: Duration,
    pub bytes: Vec<u8>,
    /// Whether the request counts as run by the backend server.
    pub runs: bool,
    /// Whether the fake closes the connection after the reply.
    pub close: bool,
}

impl FakeReply {
    /// Replies with a complete answer with status 200 and `body`.
    pub fn ok(body: &[u8]) -> Self {
        Self::raw(&answer_bytes("200 OK", "", body))
    }

    /// Replies with `bytes`, which need not be valid HTTP.
    pub fn raw(bytes: &[u8]) -> Self {
        Self { delay: Duration::ZERO, bytes: bytes.to_vec(), runs: true, close: false }
    }

    /// Refuses the request without running it.
    pub fn shed() -> Self {
        let head = "Almondsail-Verdict: refused-unrun\r\n";
        let bytes = answer_bytes("503 Service Unavailable", head, b"busy");
        Self { runs: false, ..Self::raw(&bytes) }
    }

    #[must_use]
    pub fn after(self, millis: u64) -> Self {
        Self { delay: Duration::from_millis(millis), ..self }
    }

    #[must_use]
    pub fn closing(self) -> Self {
        Self { close: true, ..self }
    }
}

/// Builds an answer with a `Content-Length`.
pub fn answer_bytes(status: &str, extra_head: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{extra_head}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

type Script = dyn Fn(&FakeRequest) -> FakeReply + Send + Sync;

/// Counts and requests of a fake backend server.
#[derive(Default)]
pub struct FakeStats {
    pub runs: AtomicUsize,
    pub running: AtomicUsize,
    pub most_running: AtomicUsize,
    pub connections: AtomicUsize,
    pub bytes: AtomicUsize,
    /// The fake closes a connection after reading this number of bytes from it.
    pub read_limit: AtomicUsize,
    /// The number of connections that the peer closed.
    pub closed_by_peer: AtomicUsize,
    /// The first 10,000 requests.
    pub requests: Mutex<Vec<FakeRequest>>,
}

impl FakeStats {
    fn record_request(&self, request: FakeRequest) {
        const MAX_RECORDED: usize = 10_000;
        let mut requests = self.requests.lock().unwrap();
        if requests.len() < MAX_RECORDED {
            requests.push(request);
        }
    }
}

/// A fake backend server on a loopback port, stopped on drop.
pub struct FakeBackend {
    pub addr: SocketAddr,
    pub stats: Arc<FakeStats>,
    task: tokio::task::JoinHandle<()>,
}

impl FakeBackend {
    /// Starts a server that replies to each request as `script` returns.
    pub async fn start(script: impl Fn(&FakeRequest) -> FakeReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let stats = Arc::new(FakeStats::default());
        stats.read_limit.store(usize::MAX, Ordering::SeqCst);
        let script: Arc<Script> = Arc::new(script);
        let counts = Arc::clone(&stats);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                counts.connections.fetch_add(1, Ordering::SeqCst);
                connections.spawn(serve(stream, Arc::clone(&script), Arc::clone(&counts)));
            }
        });
        Self { addr, stats, task }
    }

    /// Returns the number of requests that counted as run.
    pub fn runs(&self) -> usize {
        self.stats.runs.load(Ordering::SeqCst)
    }

    /// Stops the server and closes all its connections.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for FakeBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, script: Arc<Script>, stats: Arc<FakeStats>) {
    let mut buf = Vec::new();
    let mut read = 0;
    while let Some(request) = read_request(&mut stream, &mut buf, &stats, &mut read).await {
        let reply = script(&request);
        stats.record_request(request);
        if reply.runs {
            stats.runs.fetch_add(1, Ordering::SeqCst);
        }
        let running = stats.running.fetch_add(1, Ordering::SeqCst) + 1;
        stats.most_running.fetch_max(running, Ordering::SeqCst);
        let is_open = is_open_after(&stream, reply.delay).await;
        stats.running.fetch_sub(1, Ordering::SeqCst);
        if !is_open {
            stats.closed_by_peer.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let written = stream.write_all(&reply.bytes).await;
        if written.is_err() || reply.close {
            let _ = stream.shutdown().await;
            return;
        }
    }
}

/// Waits for `delay` and returns true; returns false early if the peer closes the connection.
async fn is_open_after(stream: &TcpStream, delay: Duration) -> bool {
    let closed = async {
        let mut byte = [0];
        while !matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    delay.is_zero() || tokio::time::timeout(delay, closed).await.is_err()
}

async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    stats: &FakeStats,
    read: &mut usize,
) -> Option<FakeRequest> {
    loop {
        if let Some(request) = parse(buf) {
            return Some(request);
        }
        let mut chunk = [0; 16 * 1024];
        let read_limit = stats.read_limit.load(Ordering::SeqCst);
        let max_read = chunk.len().min(read_limit.saturating_sub(*read));
        if max_read == 0 {
            return None;
        }
        let Some(n) = stream.read(&mut chunk[..max_read]).await.ok().filter(|&n| n > 0) else {
            stats.closed_by_peer.fetch_add(1, Ordering::SeqCst);
            return None;
        };
        *read += n;
        stats.bytes.fetch_add(n, Ordering::SeqCst);
        buf.extend_from_slice(&chunk[..n]);
    }
}

fn parse(buf: &mut Vec<u8>) -> Option<FakeRequest> {
    let end = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let request = FakeRequest { head, body: Vec::new() };
    let length: usize = request.header("content-length").map_or(0, |n| n.parse().unwrap());
    if buf.len() < end + length {
        return None;
    }
    let body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Some(FakeRequest { body, ..request })
}
