//! What the log says of a call to the backend server beside this node.

use std::sync::Arc;

use crate::fleet::CallOutcome;
use crate::ids::{BackendId, RouteName, ServiceName};
use crate::units::Micros;

/// A call to the backend server beside this node.
#[derive(Debug, Clone, PartialEq)]
pub struct InboundCallRecord {
    /// The attempt's id.
    pub id: Option<Arc<str>>,
    /// The route.
    pub route: RouteName,
    /// The service.
    pub service: ServiceName,
    /// The backend server that was meant.
    pub backend: BackendId,
    /// The calls that ran or went before it when it came.
    pub calls_ahead: u32,
    /// The time left until its deadline when it ended.
    pub left: Micros,
    /// How long it took.
    pub took: Micros,
    /// How it ended.
    pub outcome: CallOutcome,
}
