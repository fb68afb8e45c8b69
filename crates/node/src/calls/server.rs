//! The accept loop of both HTTP servers.

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
use tokio::task::JoinSet;

use crate::calls::callers::MAX_HEADER;
use crate::calls::stall_limit::StallLimit;
use crate::calls::traffic::Inner;
use crate::clock::duration;

/// The largest number of connections that a server holds; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 8_192;
/// The largest header that the parser takes. Above [`MAX_HEADER`], so that a header
/// that is too large is refused with a verdict; above this, the parser answers 431 itself.
const PARSER_HEADER: usize = 2 * MAX_HEADER;
/// How often idle connections to other nodes are checked.
const TIDY_EVERY: Duration = Duration::from_secs(1);
/// How long to wait after a failure to accept, which usually means that no file
/// descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    let mut stop_later = std::pin::pin!(stop_after(stop.clone(), leave_time));
    let mut connections = JoinSet::new();
    let mut tidy = tokio::time::interval(TIDY_EVERY);
    let connect = |(stream, peer)| {
        let answer = answer.clone();
        let service = move |request| answer(request, peer);
        connection(stream, Arc::clone(inner), stop.clone(), service)
    };
    loop {
        tokio::select! {
            () = &mut stop_later => break,
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                let Ok(accepted) = accepted else {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                connections.spawn(connect(accepted));
            }
            _ = connections.join_next(), if !connections.is_empty() => {}
            _ = tidy.tick() => inner.tidy(),
        }
    }
    for accepted in close(listener, MAX_CONNECTIONS - connections.len()) {
        connections.spawn(connect(accepted));
    }
    let all_ended = async { while connections.join_next().await.is_some() {} };
    // Connections that are left after this time are closed when the set is dropped.
    let _ = tokio::time::timeout(duration(inner.settings.stop_time), all_ended).await;
}

/// Closes the listener and gives the connections, at most `limit`, that waited to be accepted.
///
/// Closing alone would reset them, and their callers could not tell whether
/// their calls ran.
fn close(listener: TcpListener, limit: usize) -> Vec<(TcpStream, SocketAddr)> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let accept = || {
        let (stream, peer) = listener.accept()?;
        stream.set_nonblocking(true)?;
        Ok::<_, std::io::Error>((TcpStream::from_std(stream)?, peer))
    };
    std::iter::from_fn(|| accept().ok()).take(limit).collect()
}

/// Waits until `stop` becomes true, and for `leave_time` after it.
async fn stop_after(mut stop: watch::Receiver<bool>, leave_time: Duration) {
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
    let stream = StallLimit::new(stream, duration(inner.settings.stall_time));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(duration(inner.settings.header_time))
        .max_header_size(PARSER_HEADER)
        .max_buf_size(2 * PARSER_HEADER);
    let mut conn =
        std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service_fn(service)));
    tokio::select! {
        _ = conn.as_mut() => return,
        () = stop_after(stop, duration(inner.settings.leave_time)) => {}
    }
    conn.as_mut().graceful_shutdown();
    // An error concerns this connection alone; its calls were counted where they failed.
    let _ = conn.await;
}
