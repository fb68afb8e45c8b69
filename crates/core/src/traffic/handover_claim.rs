//! A claim that a leaving registrar hands over to another one.

use crate::ids::{CallKey, NodeId, ServiceName};
use crate::traffic::CallId;
use crate::units::Micros;

/// The claim of an idempotency key that a leaving registrar hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandoverClaim {
    /// The service that the call with the key is for.
    pub service: ServiceName,
    /// The idempotency key of the call.
    pub key: CallKey,
    /// The call to which the key belongs.
    pub call: CallId,
    /// The node that runs or ran the call.
    pub holder: NodeId,
    /// The remaining time for which the key is kept.
    pub remaining: Micros,
}
