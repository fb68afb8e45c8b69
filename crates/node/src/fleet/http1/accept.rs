//! Accepts connections.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::fleet::CallerLimits;
use bytes::Bytes;
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::fleet::http1::connection::Connection;
use crate::fleet::stop_phase::StopPhase;
use crate::socket;

/// How long to wait after a failure to accept, which usually means that no file descriptors
/// are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The settings of a listener.
pub(crate) struct Http1Settings<L> {
    /// The limits of requests, asked for each connection.
    pub(crate) limits: L,
    /// The largest number of connections; further ones wait to be accepted.
    pub(crate) connections: usize,
    /// The phase of a planned stop.
    pub(crate) stop: watch::Receiver<StopPhase>,
}

/// Answers the requests on `listener` with `handler` until the stop closes it and all
/// connections have ended.
pub(crate) async fn serve<L, H, F>(listener: TcpListener, settings: Http1Settings<L>, handler: H)
where
    L: Fn() -> CallerLimits,
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let mut stop = settings.stop.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < settings.connections => {
                let Ok((stream, _)) = accepted else {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                if let Some(connection) = connect(stream, &settings, handler.clone()) {
                    connections.spawn(connection.run());
                }
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
            () = closing(&mut stop) => break,
        }
    }
    // Connections that wait to be accepted would be reset, so they are taken first.
    for stream in waiting(listener) {
        if let Some(connection) = connect(stream, &settings, handler.clone()) {
            connections.spawn(connection.run());
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn closing(stop: &mut watch::Receiver<StopPhase>) {
    // Without a sender nobody can ask to stop any more.
    if stop.wait_for(|phase| *phase == StopPhase::Closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn connect<L, H, F>(
    stream: TcpStream,
    settings: &Http1Settings<L>,
    handler: H,
) -> Option<Connection<H>>
where
    L: Fn() -> CallerLimits,
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    // A connection whose options can't be set has ended already.
    socket::prepare(&stream).ok()?;
    Some(Connection::new(stream, handler, (settings.limits)(), settings.stop.clone()))
}

/// Closes the listener and gives the connections that waited to be accepted.
fn waiting(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let listener = Arc::new(listener);
    let accept = || {
        let (stream, _) = listener.accept()?;
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    };
    std::iter::from_fn(|| accept().ok()).collect()
}
