//! Options of TCP connections.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long sent bytes may stay unacknowledged before the connection counts as broken. A
/// partition or a silent connection shows only by this.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a connection is silent before it is probed.
pub(crate) const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
pub(crate) const KEEPALIVE_PROBES: u32 = 2;

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
