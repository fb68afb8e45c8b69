//! How calls ended at the node where they entered the mesh.

use crate::RefusalReason;
use crate::ids::{RouteName, ServiceName};

/// How a call ended, as its entry node saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller got the whole answer of the backend server.
    Answered,
    /// The caller gave the call up.
    GivenUp,
    /// The call was refused or failed.
    Failed(RefusalReason),
}

/// Calls on one route that ended alike since the last count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedCalls {
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// How they ended.
    pub end: CallEnd,
    /// How many there are.
    pub calls: u64,
}
