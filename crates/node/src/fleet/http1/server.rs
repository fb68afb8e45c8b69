//! Serves a listener.

use std::future::Future;

use almondsail_core::fleet::CallerLimits;
use bytes::Bytes;
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::accept;
use crate::fleet::http1::connection::Connection;
use crate::fleet::stop_phase::StopPhase;
use crate::socket;

/// The settings of a listener.
pub(crate) struct Http1Settings<L> {
    /// The limits of requests, asked for each connection.
    pub(crate) limits: L,
    /// The largest number of connections; further ones wait to be accepted.
    pub(crate) max_connections: usize,
    /// The phase of a planned stop.
    pub(crate) stop: watch::Receiver<StopPhase>,
}

/// Answers the requests on `listener` until the stop closes it and all connections have ended.
/// `handler` makes the handler of each connection.
pub(crate) async fn serve<L, C, H, F>(
    listener: TcpListener,
    settings: Http1Settings<L>,
    make_handler: C,
) where
    L: Fn() -> CallerLimits,
    C: Fn() -> H,
    H: Fn(Request<Bytes>) -> F + Send + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let serve_connection = |stream: TcpStream, _| {
        // A connection whose options can't be set has ended already.
        let is_open = socket::prepare(&stream).is_ok();
        let (limits, stop) = ((settings.limits)(), settings.stop.clone());
        let connection = Connection::new(stream, make_handler(), limits, stop);
        async move {
            if is_open {
                connection.run().await;
            }
        }
    };
    let closing = wait_for_closing(settings.stop.clone());
    accept::serve(listener, settings.max_connections, closing, serve_connection).await;
}

/// Waits until the stop closes the listener.
async fn wait_for_closing(mut stop: watch::Receiver<StopPhase>) {
    // Without a sender nobody can ask to stop any more.
    if stop.wait_for(|phase| *phase == StopPhase::Closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}
