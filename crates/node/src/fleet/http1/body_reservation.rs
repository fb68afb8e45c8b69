//! Memory that the body of a request takes from the node's budget.

use std::sync::Arc;

use almondsail_core::traffic::BodyBudget;
use almondsail_core::units::ByteCount;

/// The part of the node's body memory that one request occupies, released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Arc<BodyBudget>,
    held: ByteCount,
}

impl BodyReservation {
    /// Starts without any memory.
    pub(crate) const fn new(budget: Arc<BodyBudget>) -> Self {
        Self { budget, held: ByteCount::new(0) }
    }

    /// Reserves further `bytes`. Returns `false` if the node has no more memory for bodies.
    pub(crate) fn try_grow(&mut self, bytes: ByteCount) -> bool {
        let may_grow = self.budget.try_acquire(bytes);
        if may_grow {
            self.held = ByteCount::new(self.held.get() + bytes.get());
        }
        may_grow
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.release(self.held);
    }
}
