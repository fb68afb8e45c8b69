//! The addresses on which a node listens.

use std::net::SocketAddr;

use super::fields::Fields;

/// The addresses on which a node listens. Port 0 lets the system choose one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For calls that other nodes forward.
    pub inbound: SocketAddr,
    /// For messages of other nodes. Others reach this node at this IP address.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the backend server beside the node and for metrics; a loopback address.
    pub local: SocketAddr,
}

impl Listen {
    pub(super) fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let callers = fields.text("callers");
        let inbound = fields.text("door");
        let peers = fields.text("peers");
        let operators = fields.text("operators");
        let local: Option<SocketAddr> = fields.text("local");
        for (name, addr) in [("door", inbound), ("peers", peers)] {
            if addr.is_some_and(|addr: SocketAddr| addr.ip().is_unspecified()) {
                fields.note(name, "expected an address at which other nodes reach this one");
            }
        }
        if local.is_some_and(|addr| !addr.ip().is_loopback()) {
            fields.note("local", "expected a loopback address such as 127.0.0.1:7005");
        }
        Some(Self {
            callers: callers?,
            inbound: inbound?,
            peers: peers?,
            operators: operators?,
            local: local?,
        })
    }
}
