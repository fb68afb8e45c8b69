//! How calls ended, as seen by the node where they entered the mesh.

use crate::RefusalReason;
use crate::ids::{RouteName, ServiceName};

/// How a call ended, as seen by the node where it entered the mesh.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller received the backend server's whole answer.
    Answered,
    /// The caller cancelled the call before it received the whole answer.
    Cancelled,
    /// The call was refused or failed for this reason.
    Failed(RefusalReason),
}

/// A batch of calls on one route that ended the same way since the previous batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedCalls {
    /// The service that the route leads to.
    pub service: ServiceName,
    /// The route of the calls.
    pub route: RouteName,
    /// The common end of the calls.
    pub end: CallEnd,
    /// The number of calls in the batch.
    pub count: u64,
}
