//! Actions of a fleet's control state.

use std::net::SocketAddr;

use crate::fleet::{FleetChange, Heartbeat, StoreRequest};

/// An action that the control state asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Send a request to the store.
    Store {
        /// The request's number.
        id: u64,
        /// The request.
        request: StoreRequest,
    },
    /// Send a heartbeat to other nodes.
    Heartbeat(Box<Heartbeat>, Vec<SocketAddr>),
    /// Ask the node whose inbound listener is at the address for its configuration.
    FetchConfig(SocketAddr),
    /// Publish a new view for calls.
    Publish,
    /// Log a change.
    Report(FleetChange),
}
