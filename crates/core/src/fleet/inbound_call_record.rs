//! The log record of a call to the backend server beside this node.

use std::sync::Arc;

use crate::fleet::CallOutcome;
use crate::ids::{BackendId, RouteName, ServiceName};
use crate::units::Micros;

/// A call to the backend server beside this node, as logged.
#[derive(Debug, Clone, PartialEq)]
pub struct InboundCallRecord {
    /// The id of the attempt; `None` if the call carries none.
    pub id: Option<Arc<str>>,
    /// The route by which the call was sent.
    pub route: RouteName,
    /// The service that was called.
    pub service: ServiceName,
    /// The id of the backend server that the call was meant for.
    pub backend: BackendId,
    /// The calls that ran, or waited ahead of this one, when it arrived.
    pub calls_ahead: u32,
    /// The time left until the deadline when the call ended.
    pub deadline_left: Micros,
    /// The time from the arrival of the call to its end.
    pub took: Micros,
    /// How the call ended.
    pub outcome: CallOutcome,
}
