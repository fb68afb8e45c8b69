//! Serves a gotham handler with limits and a graceful stop.

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

/// Number of bytes of a request's header at most.
pub const MAX_HEADER_BYTES: usize = 64 * 1024;
/// A caller that has not sent its whole header after this time is disconnected.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Serves `handler` on `listener` until `stop` is true, with at most
/// `max_connections` at a time. Requests that run then are finished.
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
            // A dropped sender means a stop as well.
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
    // A broken connection concerns its client alone, so errors are dropped.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
