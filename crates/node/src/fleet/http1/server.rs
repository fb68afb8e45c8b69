//! Accepts and serves the connections of a listener.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::fleet::CallerLimits;
use almondsail_core::traffic::BodyBudget;
use bytes::Bytes;
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::accept;
use crate::fleet::http1::connection::Connection;
use crate::fleet::http1::head_check::HeadCheck;
use crate::fleet::http1::request_error::RequestError;
use crate::fleet::stop_phase::StopPhase;
use crate::fleet::unanswered_requests::UnansweredRequests;
use crate::socket;

/// Settings of a listener and its connections.
#[derive(Clone)]
pub(crate) struct Http1Settings<L> {
    /// Returns the limits of callers' requests that apply now.
    pub(crate) limits: L,
    /// Number of connections that are open at a time; further ones wait to be accepted.
    pub(crate) max_connections: usize,
    /// How long sent bytes may stay unacknowledged before a connection counts as broken.
    pub(crate) user_timeout: Duration,
    /// Limits the bodies of the requests of all listeners together.
    pub(crate) bodies: Arc<BodyBudget>,
    /// Checks the heads of requests with large bodies before these are read.
    pub(crate) check_head: HeadCheck,
    /// Builds the answer to a request that can't be read.
    pub(crate) refusal: fn(RequestError) -> Response<Bytes>,
    /// Current phase of a graceful stop.
    pub(crate) stop: watch::Receiver<StopPhase>,
    /// Records requests whose connection ends before they are answered.
    pub(crate) unanswered: UnansweredRequests,
}

/// Serves `listener` until a graceful stop closes it and all connections have ended. `make_handler`
/// creates the request handler of each connection.
pub(crate) async fn serve<L, C, H, F>(
    listener: TcpListener,
    settings: Http1Settings<L>,
    make_handler: C,
) where
    L: Fn() -> CallerLimits + Clone + Send + 'static,
    C: Fn() -> H,
    H: Fn(Request<Bytes>) -> F + Send + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let serve_connection = |stream: TcpStream, _| {
        // Setting the options fails only if the caller has already closed the connection.
        let is_open = socket::set_socket_options(&stream, settings.user_timeout).is_ok();
        let connection = Connection::new(stream, make_handler(), &settings);
        async move {
            if is_open {
                connection.run().await;
            }
        }
    };
    let closing = wait_for_closing(settings.stop.clone());
    accept::serve(listener, settings.max_connections, closing, serve_connection).await;
}

/// Waits for the phase in which the listener is closed.
async fn wait_for_closing(mut stop: watch::Receiver<StopPhase>) {
    // Without a sender, no stop can be requested any more.
    if stop.wait_for(|phase| *phase == StopPhase::Closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}
