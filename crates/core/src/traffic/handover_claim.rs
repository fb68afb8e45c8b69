//! A claim that moves from one registrar to another.

use crate::ids::{CallKey, NodeId, ServiceName};
use crate::traffic::CallId;
use crate::units::Micros;

/// A claim that a leaving registrar hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandoverClaim {
    /// The service that the call is for.
    pub service: ServiceName,
    /// The claimed key.
    pub key: CallKey,
    /// The call that holds the key.
    pub call: CallId,
    /// The node that runs or ran the call.
    pub holder: NodeId,
    /// The time for which the key is still kept.
    pub left: Micros,
}
