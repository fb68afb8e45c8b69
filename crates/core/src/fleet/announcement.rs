//! Announcements by which a backend server registers with the node beside it.

use std::net::SocketAddr;

use crate::ids::{BackendId, DataCentre, ServiceName, VersionName};
use crate::units::{Millis, UnixMillis};

/// The state that a backend server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnnouncedState {
    /// The server takes calls.
    Ready,
    /// The server takes no new calls and only finishes those that it runs.
    Draining,
}

/// A heartbeat that a backend server sends to the node beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The id of the server, which a later start may use again.
    pub id: BackendId,
    /// When the server started. Distinguishes two starts with the same id.
    pub started_at: UnixMillis,
    /// Increases with each announcement of one start, so that reordered ones can be ignored.
    pub sequence: u64,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The version of the server's software, by which rollouts shift calls.
    pub version: VersionName,
    /// The address at which the server takes calls.
    pub address: SocketAddr,
    /// The data centre that the server runs in.
    pub data_centre: DataCentre,
    /// The number of calls that the server runs at a time.
    pub slots: u32,
    /// Whether the server takes new calls.
    pub state: AnnouncedState,
    /// How much longer the server runs slowly after its start; zero if it does not.
    pub cold: Millis,
}
