//! The servers of callers and of other nodes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::accept;
use crate::calls::traffic::Inner;
use crate::calls::write_timeout_stream::WriteTimeoutStream;
use crate::clock::duration;

/// Number of bytes that a request's header may have.
pub const MAX_HEADER: usize = 64 * 1024;
/// The largest number of connections that a server holds; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 8_192;
/// The largest header that the parser takes. Above [`MAX_HEADER`], so that a header
/// that is too large is refused with a verdict; above this, the parser answers 431 itself.
const MAX_PARSER_HEADER: usize = 2 * MAX_HEADER;
/// How often idle connections to other nodes are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Serves connections on `listener` with `answer` until `stop` becomes true, then
/// goes on for the time to leave and waits for the requests in flight.
pub(crate) async fn serve<H, F, E>(
    listener: TcpListener,
    inner: &Arc<Inner>,
    stop: watch::Receiver<bool>,
    answer: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, E>> + Send + 'static,
    E: Into<Box<dyn std::error::Error + Send + Sync>> + 'static,
{
    let leave_time = duration(inner.settings.leave_time);
    let connect = |stream, peer| {
        let answer = answer.clone();
        let service = move |request| answer(request, peer);
        connection(stream, Arc::clone(inner), stop.clone(), service)
    };
    let (stopping, is_stopping) = tokio::sync::oneshot::channel();
    let stop_accepting = async {
        wait_for_stop(stop.clone(), leave_time).await;
        // The receiver lives as long as this future.
        let _ = stopping.send(());
    };
    let accepting = accept::serve(listener, MAX_CONNECTIONS, stop_accepting, connect);
    let limit = async {
        let _ = is_stopping.await;
        tokio::time::sleep(duration(inner.settings.stop_time)).await;
    };
    tokio::select! {
        () = accepting => {}
        // Connections that are left after this time are closed.
        () = limit => {}
        () = close_idle_periodically(inner) => {}
    }
}

/// Closes idle connections to other nodes, without an end.
async fn close_idle_periodically(inner: &Inner) {
    let mut interval = tokio::time::interval(IDLE_CHECK_INTERVAL);
    loop {
        interval.tick().await;
        inner.close_idle();
    }
}

/// Waits until `stop` becomes true, and for `leave_time` after it.
async fn wait_for_stop(mut stop: watch::Receiver<bool>, leave_time: Duration) {
    // A dropped sender means that nobody can ask to stop any more.
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(leave_time).await;
}

async fn connection<S, F, E>(
    stream: TcpStream,
    inner: Arc<Inner>,
    stop: watch::Receiver<bool>,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Body>, E>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = WriteTimeoutStream::new(stream, duration(inner.settings.stall_time));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(duration(inner.settings.header_time))
        .max_header_size(MAX_PARSER_HEADER)
        .max_buf_size(2 * MAX_PARSER_HEADER);
    let mut conn =
        std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service_fn(service)));
    tokio::select! {
        _ = conn.as_mut() => return,
        () = wait_for_stop(stop, duration(inner.settings.leave_time)) => {}
    }
    conn.as_mut().graceful_shutdown();
    // An error concerns this connection alone; its calls were counted where they failed.
    let _ = conn.await;
}
