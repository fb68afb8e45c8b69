//! The HTTP/1.1 server for callers and for other nodes.

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
use crate::clock::to_std_duration;

/// The largest header of a request in bytes, counting the URI.
pub const MAX_HEADER: usize = 64 * 1024;
/// The largest number of open connections per listener; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 8_192;
/// The largest header in bytes that hyper parses; it answers a larger one with 431 itself.
/// Above [`MAX_HEADER`], so that most headers over that limit are refused with a verdict.
const MAX_PARSER_HEADER: usize = 2 * MAX_HEADER;
/// How often idle connections to other nodes are checked for their age.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Serves connections on `listener` with `answer` until `leave_time` after `stop` becomes true,
/// then waits at most `stop_timeout` for the requests in flight.
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
    let leave_time = to_std_duration(inner.settings.leave_time);
    let connect = |stream, peer| {
        let answer = answer.clone();
        let service = move |request| answer(request, peer);
        connection(stream, Arc::clone(inner), stop.clone(), service)
    };
    let (stopping, is_stopping) = tokio::sync::oneshot::channel();
    let stop_accepting = async {
        wait_for_stop(stop.clone(), leave_time).await;
        // The receiver lives as long as this future, so that sending can't fail.
        let _ = stopping.send(());
    };
    let accepting = accept::serve(listener, MAX_CONNECTIONS, stop_accepting, connect);
    let limit = async {
        let _ = is_stopping.await;
        tokio::time::sleep(to_std_duration(inner.settings.stop_timeout)).await;
    };
    tokio::select! {
        () = accepting => {}
        // Connections that are still open after `stop_timeout` are closed.
        () = limit => {}
        () = close_idle_periodically(inner) => {}
    }
}

/// Closes old idle connections to other nodes at intervals; never returns.
async fn close_idle_periodically(inner: &Inner) {
    let mut interval = tokio::time::interval(IDLE_CHECK_INTERVAL);
    loop {
        interval.tick().await;
        inner.close_idle();
    }
}

/// Waits until `stop` becomes true, and for `leave_time` after it.
async fn wait_for_stop(mut stop: watch::Receiver<bool>, leave_time: Duration) {
    // If the sender was dropped, a stop can't be requested any more.
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
    let stream = WriteTimeoutStream::new(stream, to_std_duration(inner.settings.write_timeout));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(to_std_duration(inner.settings.header_timeout))
        .max_header_size(MAX_PARSER_HEADER)
        .max_buf_size(2 * MAX_PARSER_HEADER);
    let mut conn =
        std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service_fn(service)));
    tokio::select! {
        _ = conn.as_mut() => return,
        () = wait_for_stop(stop, to_std_duration(inner.settings.leave_time)) => {}
    }
    conn.as_mut().graceful_shutdown();
    // An error concerns only this connection, and its failed calls have been counted.
    let _ = conn.await;
}
