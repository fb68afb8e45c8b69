//! What a backend server announces of itself.

use std::net::SocketAddr;

use crate::ids::{BackendId, DataCentre, ServiceName, VersionName};
use crate::units::{Millis, UnixMillis};

/// The state that a backend server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnnouncedState {
    /// It takes calls.
    Ready,
    /// It takes no new calls.
    Draining,
}

/// A heartbeat of the backend server beside a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Its id.
    pub id: BackendId,
    /// When it started; tells two starts under one id apart.
    pub started_at: UnixMillis,
    /// Rises with each announcement of one start.
    pub sequence: u64,
    /// Its service.
    pub service: ServiceName,
    /// The version of its software.
    pub version: VersionName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// How many calls it runs at a time.
    pub slots: u32,
    /// Whether it takes calls.
    pub state: AnnouncedState,
    /// How much longer it runs slowly after its start.
    pub cold: Millis,
}
