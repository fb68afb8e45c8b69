//! Memory that an answer takes from the node's budget.

use std::sync::Arc;

use almondsail_core::traffic::AnswerBudget;
use almondsail_core::units::ByteCount;

/// The part of the node's answer memory that one answer occupies, released on drop.
#[derive(Debug)]
pub(crate) struct AnswerReservation {
    budget: Arc<AnswerBudget>,
    held: ByteCount,
}

impl AnswerReservation {
    /// Starts without any memory.
    pub(crate) const fn new(budget: Arc<AnswerBudget>) -> Self {
        Self { budget, held: ByteCount::new(0) }
    }

    /// Returns whether no memory is reserved.
    pub(crate) fn is_empty(&self) -> bool {
        self.held == ByteCount::new(0)
    }

    /// Reserves further `bytes`. Returns `false` if the answer has become too long.
    pub(crate) fn try_grow(&mut self, bytes: ByteCount) -> bool {
        let may_grow = self.budget.try_grow(self.held, bytes);
        if may_grow {
            self.held = ByteCount::new(self.held.get() + bytes.get());
        }
        may_grow
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.budget.release(self.held);
    }
}
