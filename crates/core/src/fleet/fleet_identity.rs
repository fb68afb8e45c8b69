//! Who a node of a fleet is.

use std::net::SocketAddr;

use crate::fleet::NodeEntry;
use crate::ids::{Incarnation, ServiceName};

/// Who a node of a fleet is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetIdentity {
    /// The node and its addresses.
    pub entry: NodeEntry,
    /// This start of it.
    pub incarnation: Incarnation,
    /// The service of the backend server beside it, by the settings.
    pub service: ServiceName,
    /// Where that backend server takes calls.
    pub backend: SocketAddr,
}
