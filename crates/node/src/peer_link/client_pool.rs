//! Pool of connections to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondsail_core::control::{PeerFailure, PeerMessage};
use almondsail_wire::MAX_FRAME_BYTES;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, OnceCell};
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use super::{Direction, FrameSeal, PeerServiceClient};
use crate::byte_counts::ByteCounts;
use crate::counted_stream::CountedStream;

/// Pool of persistent connections to other nodes, one per address.
///
/// Only the control thread's runtime uses the pool, so its lock never delays a call.
#[derive(Debug)]
pub struct ClientPool {
    seal: FrameSeal,
    counts: ByteCounts,
    connections: Mutex<HashMap<SocketAddr, PooledConnection>>,
}

/// A connection, which the first request on it opens.
type Connection = Arc<OnceCell<PeerServiceClient>>;

#[derive(Debug)]
struct PooledConnection {
    connection: Connection,
    last_used: Instant,
}

impl ClientPool {
    /// Connections unused for this long are closed when the next one is opened.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

    /// Creates an empty pool that authenticates messages with `seal` and counts bytes in `counts`.
    pub fn new(seal: FrameSeal, counts: ByteCounts) -> Self {
        Self { seal, counts, connections: Mutex::default() }
    }

    /// Sends a request and waits for its reply for at most `limit`.
    ///
    /// A connection that fails leaves the pool, so that the next request opens a new one.
    pub async fn send(
        &self,
        to: SocketAddr,
        message: &PeerMessage,
        limit: Duration,
    ) -> Result<PeerMessage, PeerFailure> {
        let connection = self.connection(to).await;
        let reply = timeout(limit, self.exchange(to, &connection, message, limit)).await;
        let reply = reply.unwrap_or(Err(PeerFailure::Timeout));
        if reply.is_err() {
            self.remove(to, &connection).await;
        }
        reply
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        connection: &Connection,
        message: &PeerMessage,
        limit: Duration,
    ) -> Result<PeerMessage, PeerFailure> {
        let client = connection.get_or_try_init(|| self.connect(to)).await;
        let client = client.map_err(|_| PeerFailure::Unreachable)?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + limit;
        let frame = self.seal.seal(Direction::Request, message);
        let reply = client.exchange(cx, frame).await.map_err(|_| PeerFailure::Unreachable)?;
        let reply = reply.ok_or(PeerFailure::BadReply)?;
        self.seal.open(Direction::Reply, &reply).map_err(|_| PeerFailure::BadReply)
    }

    /// Returns the pooled connection to `to`, or adds one that is not yet open.
    async fn connection(&self, to: SocketAddr) -> Connection {
        let mut connections = self.connections.lock().await;
        if let Some(pooled) = connections.get_mut(&to) {
            pooled.last_used = Instant::now();
            return Arc::clone(&pooled.connection);
        }
        connections.retain(|_, pooled| pooled.last_used.elapsed() < Self::IDLE_TIMEOUT);
        let connection = Connection::default();
        let pooled =
            PooledConnection { connection: Arc::clone(&connection), last_used: Instant::now() };
        connections.insert(to, pooled);
        connection
    }

    /// Removes `failed` from the pool, unless a newer connection has replaced it.
    async fn remove(&self, to: SocketAddr, failed: &Connection) {
        let mut connections = self.connections.lock().await;
        if connections.get(&to).is_some_and(|pooled| Arc::ptr_eq(&pooled.connection, failed)) {
            connections.remove(&to);
        }
    }

    async fn connect(&self, to: SocketAddr) -> std::io::Result<PeerServiceClient> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let stream = CountedStream::new(stream, self.counts.clone());
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
    }
}
