//! An HTTP/1.1 server with a connection limit and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eyre::{Result, eyre};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use super::{ReplyBody, ServerOptions};

/// How long a stopping server waits for the first request on an open connection.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// What the server does after its handler has processed a request.
#[derive(Debug)]
pub enum Handled {
    /// Sends the answer to the client.
    Answer(Response<ReplyBody>),
    /// Closes the connection without sending an answer.
    Close,
}

/// An HTTP/1.1 server with a connection limit and graceful shutdown.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    options: ServerOptions,
}

impl HttpServer {
    /// Binds a listener on `address`; connections wait until [`serve`](Self::serve) runs.
    pub async fn bind(address: SocketAddr, options: ServerOptions) -> Result<Self> {
        Ok(Self { listener: TcpListener::bind(address).await?, options })
    }

    /// Returns the address of the listener, with the port that the system chose.
    pub fn address(&self) -> Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves until `stop` becomes true, then completes the requests in flight and returns.
    pub async fn serve<H, F>(self, handler: H, stop: watch::Receiver<bool>)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Handled> + Send + 'static,
    {
        let open = Arc::new(AtomicUsize::new(0));
        let (alive, mut all_ended) = tokio::sync::mpsc::channel::<Infallible>(1);
        let start = |stream: TcpStream| {
            if open.load(Ordering::Relaxed) >= self.options.max_connections {
                return;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let (handler, stop) = (handler.clone(), stop.clone());
            let (open, alive) = (Arc::clone(&open), alive.clone());
            tokio::spawn(async move {
                serve_connection(stream, handler, stop).await;
                open.fetch_sub(1, Ordering::Relaxed);
                drop(alive);
            });
        };
        loop {
            let mut stop = stop.clone();
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    start(stream);
                }
                _ = stop.wait_for(|stopped| *stopped) => break,
            }
        }
        pending_connections(self.listener).into_iter().for_each(start);
        drop(alive);
        let _ended = all_ended.recv().await;
    }
}

/// Closes the listener and returns the connections that were waiting to be
/// accepted; closing the listener alone would reset them.
fn pending_connections(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let Ok(listener) = listener.into_std() else { return streams };
    while let Ok((stream, _)) = listener.accept() {
        let is_ready = stream.set_nonblocking(true).is_ok();
        streams.extend(is_ready.then(|| TcpStream::from_std(stream).ok()).flatten());
    }
    streams
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H, mut stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Handled>,
{
    let _unsupported = stream.set_nodelay(true);
    let requested = Notify::new();
    let service = service_fn(|req| {
        requested.notify_one();
        let handled = handler(req);
        async move {
            match handled.await {
                Handled::Answer(response) => Ok(response),
                Handled::Close => Err(eyre!("closed without an answer")),
            }
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error on a connection affects only its client, which sees it closed.
    tokio::select! {
        _ended = connection.as_mut() => return,
        _ = stop.wait_for(|stopped| *stopped) => {}
    }
    // hyper's graceful shutdown closes a connection without a request at once. The
    // first request may be in transit, and its client couldn't tell whether it ran.
    tokio::select! {
        _ended = connection.as_mut() => return,
        () = requested.notified() => {}
        () = tokio::time::sleep(FIRST_REQUEST_TIMEOUT) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ended = connection.await;
}
