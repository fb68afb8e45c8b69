//! Tests of the pool of connections to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use almondsail_core::control::{PeerFailure, PeerMessage};
use almondsail_core::ids::ConfigVersion;
use almondsail_node::byte_counts::ByteCounts;
use almondsail_node::metrics::Metrics;
use almondsail_node::peer_link::{ClientPool, FrameSeal, PeerServer};
use almondsail_node::settings::InstallationKey;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Time limit for requests that get a reply; generous, so that it is reached only by a hang.
const LONG: Duration = Duration::from_secs(20);

fn seal() -> FrameSeal {
    FrameSeal::new(InstallationKey::new(&[1; InstallationKey::MIN_BYTES]).unwrap())
}

fn message(version: u64) -> PeerMessage {
    PeerMessage::Ack(ConfigVersion::new(version))
}

/// Another node that replies to requests with the same message, except to version 0, which it
/// leaves without a reply.
struct OtherNode {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl OtherNode {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        let (requests, mut received) = mpsc::channel(8);
        let refused = Metrics::new().unwrap().meter().u64_counter("refused").build();
        let peers = PeerServer::new(seal(), ByteCounts::default(), requests, refused);
        tokio::spawn(peers.listen(listener));
        tokio::spawn(async move {
            let mut held = Vec::new();
            while let Some(request) = received.recv().await {
                if request.message == message(0) {
                    held.push(request.reply);
                } else {
                    let _ = request.reply.send(request.message);
                }
            }
        });
        let connections = Arc::new(AtomicUsize::new(0));
        let addr = relay(server, Arc::clone(&connections)).await;
        Self { addr, connections }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Forwards connections to `server` and counts them.
async fn relay(server: SocketAddr, connections: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut from, _) = listener.accept().await.unwrap();
            connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut to = TcpStream::connect(server).await.unwrap();
                let _ = tokio::io::copy_bidirectional(&mut from, &mut to).await;
            });
        }
    });
    addr
}

/// Guards against a second connection for requests that are sent at the same time.
#[tokio::test]
async fn send_at_the_same_time() {
    let node = OtherNode::start().await;
    let pool = ClientPool::new(seal(), ByteCounts::default());
    let (one, two) = (message(1), message(2));
    let replies = tokio::join!(pool.send(node.addr, &one, LONG), pool.send(node.addr, &two, LONG));
    assert_eq!((replies.0.unwrap(), replies.1.unwrap()), (one, two));
    assert_eq!(node.connections(), 1);
}

/// Guards against closing a new connection because a request failed on the one before it.
#[tokio::test]
async fn send_after_older_failure() {
    let node = OtherNode::start().await;
    let pool = ClientPool::new(seal(), ByteCounts::default());
    let unanswered = message(0);
    let older = pool.send(node.addr, &unanswered, Duration::from_millis(1_500));
    let newer = async {
        sleep(Duration::from_millis(100)).await;
        let failed = pool.send(node.addr, &unanswered, Duration::from_millis(100)).await;
        assert!(matches!(failed, Err(PeerFailure::Timeout)), "{failed:?}");
        assert_eq!(pool.send(node.addr, &message(1), LONG).await.unwrap(), message(1));
        assert_eq!(node.connections(), 2);
    };
    let (failed, ()) = tokio::join!(older, newer);
    assert!(matches!(failed, Err(PeerFailure::Timeout)), "{failed:?}");
    assert_eq!(pool.send(node.addr, &message(2), LONG).await.unwrap(), message(2));
    assert_eq!(node.connections(), 2);
}
