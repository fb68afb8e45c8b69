//! Proof that a node knows the operator's keys of the store completely.

use crate::store::StorePosition;
use crate::units::Millis;

/// Proof that a node knows the operator's keys of the store completely, as heartbeats carry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// The position of the store up to which the keys are known.
    pub position: StorePosition,
    /// How long ago the store gave the answer that shows it, to any node.
    pub age: Millis,
}
