//! The section `listen` of the settings file.

use std::net::SocketAddr;

use super::fields::Fields;

/// The addresses on which a node listens. With port 0 the system chooses a free port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address for calls from clients of the mesh.
    pub callers: SocketAddr,
    /// Address for calls that other nodes forward. Other nodes connect to this IP address, so it
    /// must be specified.
    pub inbound: SocketAddr,
    /// Address for control messages of other nodes. Other nodes connect to this IP address, so it
    /// must be specified.
    pub peers: SocketAddr,
    /// Address of the HTTP API for operators.
    pub operators: SocketAddr,
    /// Address for the backend server's announcements and for metrics; must be a loopback address.
    pub local: SocketAddr,
}

impl Listen {
    pub(super) fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let callers = fields.string("callers");
        let inbound = fields.string("door");
        let peers = fields.string("peers");
        let operators = fields.string("operators");
        let local: Option<SocketAddr> = fields.string("local");
        for (name, addr) in [("door", inbound), ("peers", peers)] {
            if addr.is_some_and(|addr: SocketAddr| addr.ip().is_unspecified()) {
                fields
                    .add_error(name, "expected an address at which other nodes can reach this one");
            }
        }
        if local.is_some_and(|addr| !addr.ip().is_loopback()) {
            fields.add_error("local", "expected a loopback address such as 127.0.0.1:7005");
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
