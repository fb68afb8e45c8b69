//! A registrar's answer to the claim of an idempotency key.

use crate::ids::NodeId;

/// A registrar's answer to the claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key now belongs to the call that claimed it.
    Granted {
        /// Whether this registrar has lost no claim for longer than it keeps a key, so that a key
        /// unknown to it was certainly not used within that time.
        is_certain: bool,
    },
    /// The key already belongs to another call.
    Held {
        /// The node that runs or ran the call to which the key belongs.
        holder: NodeId,
    },
    /// The registrar holds [`KeyClaims::MAX_KEYS`](crate::traffic::KeyClaims::MAX_KEYS) keys.
    Full,
}
