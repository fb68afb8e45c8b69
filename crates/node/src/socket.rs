//! Binds listeners and sets TCP socket options.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use eyre::WrapErr as _;
use hyper_util::client::legacy::connect::HttpConnector;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long bytes sent to another node, a backend server or the store may stay unacknowledged
/// before the connection counts as broken. Only this detects a partition or a silent connection.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time of a connection before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Binds a non-blocking listener to `addr`. Errors mention `name`, the address's field in the
/// settings.
pub(crate) fn bind(name: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(addr).wrap_err_with(|| format!("{name}: {addr}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Makes `connector` set the same keepalive and timeout options as [`set_socket_options`]
/// with [`USER_TIMEOUT`].
pub(crate) fn set_connector_keepalive(connector: &mut HttpConnector) {
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Sets `TCP_NODELAY` and the keepalive and timeout options that close connections whose peer
/// is silent. The connection counts as broken once sent bytes stay unacknowledged, or the peer
/// takes no further ones, for `user_timeout`.
pub(crate) fn set_socket_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
