//! The accept loop shared by the servers of a node.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Delay after a failed accept, which usually means that the process has run out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves each connection on `listener` with the future that `connect` returns, at most `limit`
/// at a time; further connections wait in the backlog. When `stop` completes, closes the listener
/// and returns once all connections have ended.
///
/// Connections in the backlog at that moment are still served: closing the listener would reset
/// them, and their callers could not tell whether their requests ran. Dropping the future aborts
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

/// Closes the listener and returns at most `limit` connections from its backlog.
fn close_and_drain(listener: TcpListener, limit: usize) -> Vec<(TcpStream, SocketAddr)> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let accept = || {
        let (stream, peer) = listener.accept()?;
        stream.set_nonblocking(true)?;
        Ok::<_, std::io::Error>((TcpStream::from_std(stream)?, peer))
    };
    std::iter::from_fn(|| accept().ok()).take(limit).collect()
}
