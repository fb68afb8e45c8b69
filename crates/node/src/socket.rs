//! Options of TCP connections.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use eyre::WrapErr as _;
use hyper_util::client::legacy::connect::HttpConnector;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection counts as broken. A
/// partition or a silent connection shows only by this.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a connection is silent before it is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Listens at `addr`, which the settings call `name`.
pub(crate) fn bind(name: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(addr).wrap_err_with(|| format!("{name}: {addr}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Makes the connections of `connector` end when the other side is silent, as [`prepare`] does.
pub(crate) fn end_if_silent(connector: &mut HttpConnector) {
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Sets the options that a connection of a node needs: no delay of small writes, and an end
/// of connections whose other side is silent.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
