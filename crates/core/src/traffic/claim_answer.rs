//! The answer of a registrar to a claim.

use crate::ids::NodeId;

/// What a registrar answers to the claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The key belongs to the call that claimed it.
    Granted {
        /// Whether this registrar has run for longer than it keeps a key, so that an
        /// unknown key was certainly not used within that time.
        sure: bool,
    },
    /// The key belongs to another call.
    Held {
        /// The node that runs or ran that call.
        holder: NodeId,
    },
    /// The registrar holds as many keys as it may.
    Full,
}
