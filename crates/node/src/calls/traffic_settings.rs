//! The settings of a node's traffic.

use std::net::SocketAddr;

use almondsail_core::units::{ByteCount, Millis};

/// The settings of a node's traffic.
#[derive(Debug, Clone)]
pub struct TrafficSettings {
    /// Where the backend server beside this node takes connections.
    pub backend_addr: SocketAddr,
    /// How long opening a connection may take.
    pub connect_time: Millis,
    /// How long a caller may take to send a request's header, and how long its connection may
    /// stay idle. Longer than `idle_time`, so that the node that sends closes an idle connection.
    pub header_time: Millis,
    /// How long a caller may take to send a request's body.
    pub body_time: Millis,
    /// How long a caller may stop reading an answer.
    pub stall_time: Millis,
    /// How long a connection to another node or the backend server may stay idle.
    pub idle_time: Millis,
    /// The largest number of idle connections to one node.
    pub max_idle_per_node: usize,
    /// The bytes of bodies that the node may hold.
    pub body_memory: ByteCount,
    /// How long connections are still accepted after the order to stop. Callers that send in
    /// this time are refused with `Connection: close`; later, idle connections are closed.
    pub leave_time: Millis,
    /// How long calls in flight may take to end on a planned stop.
    pub stop_time: Millis,
}

impl TrafficSettings {
    /// The usual settings.
    pub fn new(backend_addr: SocketAddr) -> Self {
        Self {
            backend_addr,
            connect_time: Millis::new(500),
            header_time: Millis::new(20_000),
            body_time: Millis::new(10_000),
            stall_time: Millis::new(30_000),
            idle_time: Millis::new(15_000),
            max_idle_per_node: 64,
            body_memory: almondsail_core::traffic::BodyBudget::DEFAULT_LIMIT,
            leave_time: Millis::new(500),
            stop_time: Millis::new(30_000),
        }
    }
}
