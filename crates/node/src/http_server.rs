//! HTTP server for gotham handlers, with limits and graceful shutdown.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::accept;

/// Size limit of a request's header in bytes.
pub const MAX_HEADER_BYTES: usize = 64 * 1024;
/// A client that has not sent its complete request header after this time is disconnected.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves `handler` on `listener` until `stop` is true or its sender is dropped, with at most
/// `max_connections` at a time. Running requests are then completed before it returns.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    max_connections: usize,
    stop: watch::Receiver<bool>,
) where
    H: NewHandler + 'static,
{
    let handler = Arc::new(handler);
    let connect = |stream, _| serve_connection(stream, Arc::clone(&handler), stop.clone());
    let stopped = {
        let mut stop = stop.clone();
        async move {
            // An error means that the sender was dropped, which also stops the server.
            let _ = stop.wait_for(|stop| *stop).await;
        }
    };
    accept::serve(listener, max_connections, stopped, connect).await;
}

async fn serve_connection<H>(stream: TcpStream, handler: Arc<H>, mut stop: watch::Receiver<bool>)
where
    H: NewHandler + 'static,
{
    let Ok(client) = stream.peer_addr() else { return };
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let state = State::from_request(req, client);
        call_handler(handler.clone(), AssertUnwindSafe(state))
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // Errors are ignored, since a broken connection affects only its own client.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
