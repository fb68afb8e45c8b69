//! A port that is bound without listening.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

/// A TCP port that is bound without listening until this is dropped.
///
/// Connections to it are refused, and no socket that asks for any port gets it. Listeners of
/// the standard library and of tokio can bind it, because they set `SO_REUSEADDR`.
///
/// Closing a listener instead doesn't free its port at once: a child process that another
/// thread is starting holds a copy of the listener until it executes its program.
#[derive(Debug)]
pub(super) struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a port of the IP address of `any_port`, which has port 0.
    pub(super) fn bind(any_port: SocketAddr) -> io::Result<Self> {
        let socket = if any_port.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(any_port)?;
        Ok(Self { address: socket.local_addr()?, _socket: socket })
    }

    /// Returns the reserved address.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }
}
