//! Events that the control state handles.

use std::net::SocketAddr;

use crate::fleet::{Announcement, ConfigText, Heartbeat, RouteKey, StoreResponse};
use crate::ids::BackendId;
use crate::units::{Instant, Micros, UnixMillis};

/// An event that the control state handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetEvent {
    /// Time has passed, and due requests and timeouts are checked.
    Tick,
    /// A request to the store was answered or failed.
    Store {
        /// The number of the request, from the action that asked for it.
        id: u64,
        /// What came back.
        response: StoreResponse,
    },
    /// The answer to the request to the store with this number begins to arrive.
    StoreBegun(u64),
    /// Another node sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The configuration of the node at the address, which was asked for it, begins to arrive.
    PeerConfigBegun(SocketAddr),
    /// A node that was asked for its configuration has answered, or has not in time.
    PeerConfig {
        /// The address of the node.
        from: SocketAddr,
        /// Its configuration; `None` if it could not send one.
        config: Option<ConfigText>,
    },
    /// The backend server beside the node announced itself.
    Announced(Announcement),
    /// The backend server beside the node leaves; holds its id and, if known, when it started.
    Left(BackendId, Option<UnixMillis>),
    /// The backend server beside the node answered a call of a route within a time.
    Answered(RouteKey, Micros),
    /// A call of a route to the backend server beside the node failed.
    Failed(RouteKey),
    /// The backend server beside the node refused or reset a connection at this time, so it may
    /// have restarted.
    BackendDoubted(Instant),
    /// The node was told to stop.
    StopRequested,
}
