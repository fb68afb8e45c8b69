//! Limits and timeouts for calls.

use std::net::SocketAddr;

use almondsail_core::units::{ByteCount, Millis};

/// The address of the backend server, and limits and timeouts for calls.
#[derive(Debug, Clone)]
pub struct TrafficSettings {
    /// The address at which the backend server beside this node listens.
    pub backend_addr: SocketAddr,
    /// How long opening a connection to another node or the backend server may take.
    pub connect_timeout: Millis,
    /// How long a caller may take to send a request's header, and how long its connection may
    /// stay idle. Longer than `idle_timeout`, so that the node that sends closes an idle connection.
    pub header_timeout: Millis,
    /// How long a caller may take to send a request's body.
    pub body_timeout: Millis,
    /// How long the sending of an answer may make no progress before the connection is closed.
    pub write_timeout: Millis,
    /// How long a connection to another node or the backend server may stay idle.
    pub idle_timeout: Millis,
    /// The largest number of idle connections kept to each other node.
    pub max_idle_per_node: usize,
    /// The memory for the request bodies of all calls in flight.
    pub body_memory: ByteCount,
    /// How long connections are still accepted after a stop was requested. Calls that arrive in
    /// this time are refused with `Connection: close`; after it, idle connections are closed.
    pub leave_time: Millis,
    /// How long calls in flight may take to end on a planned stop, after `leave_time`.
    pub stop_timeout: Millis,
}

impl TrafficSettings {
    /// Returns the default settings for a backend server at `backend_addr`.
    pub fn new(backend_addr: SocketAddr) -> Self {
        Self {
            backend_addr,
            connect_timeout: Millis::new(500),
            header_timeout: Millis::new(20_000),
            body_timeout: Millis::new(10_000),
            write_timeout: Millis::new(30_000),
            idle_timeout: Millis::new(15_000),
            max_idle_per_node: 64,
            body_memory: almondsail_core::traffic::BodyBudget::DEFAULT_LIMIT,
            leave_time: Millis::new(500),
            stop_timeout: Millis::new(30_000),
        }
    }
}
