//! Server for messages from other nodes.

use std::sync::Arc;

use almondsail_wire::MAX_FRAME_BYTES;
use almondsail_wire::peer::SealedFrame;
use futures::StreamExt;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_util::codec::LengthDelimitedCodec;

use super::{Direction, FrameSeal, OpenError, PeerService};
use crate::byte_counts::ByteCounts;
use crate::counted_stream::CountedStream;
use crate::peer_link::IncomingRequest;

/// Receives requests from other nodes and forwards them to the control thread.
#[derive(Debug, Clone)]
pub struct PeerServer {
    seal: FrameSeal,
    counts: ByteCounts,
    requests: mpsc::Sender<IncomingRequest>,
    refused: Counter<u64>,
}

impl PeerServer {
    /// Limit on concurrent connections. A node usually has about 12 incoming ones; many nodes
    /// that join at once come on top.
    const MAX_CONNECTIONS: usize = 512;

    /// Creates a server that sends requests to `requests` and counts rejected frames and
    /// connections in `refused`.
    pub fn new(
        seal: FrameSeal,
        counts: ByteCounts,
        requests: mpsc::Sender<IncomingRequest>,
        refused: Counter<u64>,
    ) -> Self {
        Self { seal, counts, requests, refused }
    }

    /// Accepts connections until the future is dropped and serves each in its own task.
    /// Connections beyond the limit are counted and closed.
    pub async fn listen(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(Self::MAX_CONNECTIONS));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                self.count_refused("too_many_connections");
                continue;
            };
            let connection = self.clone().serve_connection(stream);
            tokio::spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, self.counts.clone());
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let mut requests = std::pin::pin!(BaseChannel::with_defaults(transport).requests());
        while let Some(request) = requests.next().await {
            let Ok(request) = request else {
                self.count_refused("garbage");
                return;
            };
            let server = self.clone();
            tokio::spawn(request.execute(server.serve()));
        }
    }

    fn count_refused(&self, reason: &'static str) {
        self.refused.add(1, &[KeyValue::new("reason", reason)]);
    }
}

impl PeerService for PeerServer {
    async fn exchange(self, _: Context, request: SealedFrame) -> Option<SealedFrame> {
        let message = match self.seal.open(Direction::Request, &request) {
            Ok(message) => message,
            Err(OpenError::Unauthenticated) => {
                self.count_refused("unauthenticated");
                return None;
            }
            Err(OpenError::Malformed(_)) => {
                self.count_refused("malformed");
                return None;
            }
        };
        let (reply, answer) = oneshot::channel();
        self.requests.send(IncomingRequest { message, reply }).await.ok()?;
        let answer = answer.await.ok()?;
        Some(self.seal.seal(Direction::Reply, &answer))
    }
}
