//! A test double of a worker that writes any bytes at any time.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::{Result, eyre};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::worker_announcements::WorkerAnnouncements;
use super::{RawRequest, RawStep, WorkerOptions};

/// Decides how a worker reacts to a request, whose body it has not read yet.
type Script = Arc<dyn Fn(&RawRequest) -> Vec<RawStep> + Send + Sync>;

/// A test double of a worker that runs in this process and writes the bytes of a script.
///
/// Unlike [`Worker`](super::Worker), it has no HTTP server that would keep its bytes well-formed.
/// Clones are the same worker.
#[derive(Debug, Clone)]
pub struct RawWorker {
    announcements: WorkerAnnouncements,
    shared: Arc<Shared>,
}

struct Shared {
    script: Mutex<Script>,
    /// The requests that arrived, in the order of their heads.
    requests: Mutex<Vec<RawRequest>>,
    connections: AtomicUsize,
    open_connections: AtomicUsize,
    /// The number of requests whose script has not ended.
    busy: AtomicUsize,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

/// Counts a connection as open until dropped.
struct OpenConnection(Arc<Shared>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as answered when dropped.
struct Busy<'a>(&'a Shared);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RawWorker {
    /// Starts a worker that listens on `address` and runs every request, until
    /// [`set_script`](Self::set_script) is called.
    pub(super) async fn start(address: SocketAddr, options: WorkerOptions) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let announcements = WorkerAnnouncements::new(listener.local_addr()?, options);
        let shared = Arc::new(Shared {
            script: Mutex::new(Arc::new(|req| {
                vec![RawStep::ReadBody, RawStep::Write(req.answer())]
            })),
            requests: Mutex::default(),
            connections: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { announcements, shared })
    }

    /// Returns the address on which the worker accepts requests.
    pub const fn address(&self) -> SocketAddr {
        self.announcements.address()
    }

    /// Sets the reaction to the requests that arrive from now on.
    pub fn set_script(&self, script: impl Fn(&RawRequest) -> Vec<RawStep> + Send + Sync + 'static) {
        *lock(&self.shared.script) = Arc::new(script);
    }

    /// Returns the number of requests for `path` that arrived.
    pub fn arrivals(&self, path: &str) -> usize {
        lock(&self.shared.requests).iter().filter(|req| req.path == path).count()
    }

    /// Returns the paths of the requests that arrived, in the order of their heads.
    pub fn paths(&self) -> Vec<String> {
        lock(&self.shared.requests).iter().map(|req| req.path.clone()).collect()
    }

    /// Returns the number of requests whose script has not ended.
    pub fn busy_requests(&self) -> usize {
        self.shared.busy.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that are open.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// Announces the worker as ready to `node`, again and again until the task is aborted.
    pub(super) fn announce_repeatedly(&self, node: SocketAddr) -> JoinHandle<()> {
        self.announcements.clone().repeat(node)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = shared.connections.fetch_add(1, Ordering::Relaxed);
        shared.open_connections.fetch_add(1, Ordering::Relaxed);
        let open = OpenConnection(Arc::clone(&shared));
        tokio::spawn(async move {
            // An error on a connection affects only its node, which sees it closed.
            let _closed = serve(stream, number, &open.0).await;
        });
    }
}

/// Reads requests from `stream` and carries out the script for each, until the connection closes.
async fn serve(mut stream: TcpStream, number: usize, shared: &Shared) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut received = Vec::new();
    loop {
        let head = read_head(&mut stream, &mut received).await?;
        let req = RawRequest::parse(&head, stream.local_addr()?, number);
        lock(&shared.requests).push(req.clone());
        let script = Arc::clone(&lock(&shared.script));
        let mut has_read_body = false;
        shared.busy.fetch_add(1, Ordering::Relaxed);
        let busy = Busy(shared);
        for step in script(&req).into_iter().chain([RawStep::ReadBody]) {
            match step {
                RawStep::ReadBody if has_read_body => {}
                RawStep::ReadBody => {
                    read_body(&mut stream, &mut received, req.body_length).await?;
                    has_read_body = true;
                }
                RawStep::Write(bytes) => stream.write_all(&bytes).await?,
                RawStep::WriteLate(bytes) => stream.write_all(&bytes.decide()).await?,
                RawStep::Pause(time) => tokio::time::sleep(time).await,
                RawStep::Close => return Ok(()),
                RawStep::Repeat(bytes, pause) => repeat(&mut stream, &bytes, pause).await?,
            }
        }
        drop(busy);
    }
}

/// Writes `bytes` until the connection closes, which is an error.
async fn repeat(stream: &mut TcpStream, bytes: &[u8], pause: Duration) -> Result<()> {
    loop {
        stream.write_all(bytes).await?;
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Reads up to the empty line after a request's head; `received` keeps what follows it.
async fn read_head(stream: &mut TcpStream, received: &mut Vec<u8>) -> Result<String> {
    const END: &[u8] = b"\r\n\r\n";
    loop {
        if let Some(at) = received.windows(END.len()).position(|bytes| bytes == END) {
            let head = received.drain(..at + END.len()).collect();
            return Ok(String::from_utf8(head)?);
        }
        if stream.read_buf(received).await? == 0 {
            return Err(eyre!("closed"));
        }
    }
}

/// Reads and drops a body of `length` bytes; `received` keeps what follows it.
async fn read_body(stream: &mut TcpStream, received: &mut Vec<u8>, length: usize) -> Result<()> {
    while received.len() < length {
        if stream.read_buf(received).await? == 0 {
            return Err(eyre!("closed"));
        }
    }
    received.drain(..length);
    Ok(())
}
