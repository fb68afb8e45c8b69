//! Events of a fleet's control state.

use crate::fleet::{Announcement, ConfigText, Heartbeat, RouteKey, StoreFailure, StoreReply};
use crate::ids::BackendId;
use crate::units::{Micros, UnixMillis};

/// An event of the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetEvent {
    /// Time has passed.
    Tick,
    /// The reply to a request to the store.
    Store {
        /// The request's number.
        id: u64,
        /// The reply.
        reply: Result<StoreReply, StoreFailure>,
    },
    /// Another node sent a heartbeat.
    Heartbeat(Heartbeat),
    /// Another node sent its configuration; `None` if it could not.
    PeerConfig(Option<ConfigText>),
    /// The backend server beside the node announced itself.
    Announced(Announcement),
    /// The backend server beside the node leaves.
    Left(BackendId, Option<UnixMillis>),
    /// The backend server beside the node answered a call.
    Answered(RouteKey, Micros),
    /// A call to the backend server beside the node failed.
    Failed(RouteKey),
    /// The node is to stop.
    StopRequested,
}
