//! The accept loop of every server of a node.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// How long to wait after a failure to accept, which usually means that no file descriptors
/// are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves each connection on `listener` with the future that `connect` makes, at most `limit`
/// at a time; further ones wait to be accepted. Once `stop` ends, the listener is closed, and
/// the loop returns when all connections have ended.
///
/// Connections that wait to be accepted at that moment are served too: closing would reset
/// them, and their callers could not tell whether their requests ran. Dropping the future ends
/// all connections.
pub(crate) async fn serve<C, F>(
    listener: TcpListener,
    limit: usize,
    stop: impl Future<Output = ()>,
    connect: C,
) where
    C: Fn(TcpStream, SocketAddr) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut stop = std::pin::pin!(stop);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept(), if connections.len() < limit => match accepted {
                Ok((stream, peer)) => {
                    connections.spawn(connect(stream, peer));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            _ = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    for (stream, peer) in close_and_drain(listener, limit.saturating_sub(connections.len())) {
        connections.spawn(connect(stream, peer));
    }
    while connections.join_next().await.is_some() {}
}

/// Closes the listener and gives the connections, at most `limit`, that waited to be accepted.
fn close_and_drain(listener: TcpListener, limit: usize) -> Vec<(TcpStream, SocketAddr)> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let accept = || {
        let (stream, peer) = listener.accept()?;
        stream.set_nonblocking(true)?;
        Ok::<_, std::io::Error>((TcpStream::from_std(stream)?, peer))
    };
    std::iter::from_fn(|| accept().ok()).take(limit).collect()
}
