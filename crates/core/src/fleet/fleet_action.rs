//! Actions that the control state asks the process to carry out.

use std::net::SocketAddr;

use crate::fleet::{FleetChange, Heartbeat, StoreRequest};

/// An action that the control state asks the process to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Send a request to the store.
    Store {
        /// The number by which the reply is matched to the request.
        id: u64,
        /// The read, write or lease operation to perform.
        request: StoreRequest,
    },
    /// Give up the request to the store with this number. Its reply is no longer wanted.
    CancelStore(u64),
    /// Send a heartbeat to the nodes at these addresses.
    Heartbeat(Box<Heartbeat>, Vec<SocketAddr>),
    /// Ask the node whose inbound listener is at the address for its configuration.
    FetchConfig(SocketAddr),
    /// Publish a new view of the state for calls to read.
    Publish,
    /// Log and count a change of the state.
    Report(FleetChange),
}
