//! A loopback proxy that injects faults into TCP connections.

use std::net::SocketAddr;
use std::ops::ControlFlow;

use eyre::Result;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::LinkMode;

/// Number of bytes that are passed on at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// A proxy in front of one server. Ends with its connections when dropped.
#[derive(Debug)]
pub struct FaultyProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    accepting: JoinHandle<()>,
}

/// Which way bytes of a connection go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

impl FaultyProxy {
    /// Starts a proxy in front of `server` that listens on `address`.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(LinkMode::Open);
        let accepting = tokio::spawn(accept(listener, server, mode.subscribe()));
        Ok(Self { address, mode, accepting })
    }

    /// Returns the address on which the proxy listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how all connections are treated from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Returns how connections are treated.
    pub fn mode(&self) -> LinkMode {
        *self.mode.borrow()
    }
}

impl Drop for FaultyProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, mode: watch::Receiver<LinkMode>) {
    while let Ok((client, _)) = listener.accept().await {
        let mode = mode.clone();
        tokio::spawn(async move {
            if *mode.borrow() == LinkMode::Closed {
                return;
            }
            let Ok(server) = TcpStream::connect(server).await else { return };
            // Delays only the last bytes of a message if it fails.
            let _unsupported = (client.set_nodelay(true), server.set_nodelay(true));
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            // The end of one direction closes both.
            tokio::select! {
                () = pump(from_client, to_server, mode.clone(), Direction::Requests) => {}
                () = pump(from_server, to_client, mode, Direction::Answers) => {}
            }
        });
    }
}

/// Passes bytes on until the connection ends or the mode closes it.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    direction: Direction,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut is_silent = false;
    loop {
        let length = tokio::select! {
            read = from.read(&mut buf) => match read {
                Ok(length) if length > 0 => length,
                _ => return,
            },
            closed = mode.wait_for(|mode| *mode == LinkMode::Closed) => {
                drop(closed);
                return;
            }
        };
        match wait_for_passage(&mut mode, direction).await {
            ControlFlow::Continue(passes) => is_silent |= !passes,
            ControlFlow::Break(()) => return,
        }
        if !is_silent && to.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may go on. Returns whether they pass or are dropped, or `Break` if the
/// connection is closed.
async fn wait_for_passage(
    mode: &mut watch::Receiver<LinkMode>,
    direction: Direction,
) -> ControlFlow<(), bool> {
    loop {
        let current = *mode.borrow_and_update();
        match current {
            LinkMode::Open => return ControlFlow::Continue(true),
            LinkMode::Delayed(time) => {
                tokio::time::sleep(time).await;
                return ControlFlow::Continue(true);
            }
            LinkMode::LosesAnswers => {
                return ControlFlow::Continue(direction == Direction::Requests);
            }
            LinkMode::Closed => return ControlFlow::Break(()),
            LinkMode::Stalled if mode.changed().await.is_err() => return ControlFlow::Break(()),
            LinkMode::Stalled => {}
        }
    }
}
