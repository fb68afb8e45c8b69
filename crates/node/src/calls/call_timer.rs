//! The count of a call when its answer ends.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::units::Instant;
use http::StatusCode;

use crate::calls::answer_end::AnswerEnd;
use crate::calls::call_counters::CallCell;
use crate::clock::Clock;

/// Counts the end of a call in one cell.
#[derive(Debug)]
pub(crate) struct CallTimer {
    cell: Arc<CallCell>,
    clock: Clock,
    started: Instant,
}

impl CallTimer {
    pub(crate) const fn new(cell: Arc<CallCell>, clock: Clock, started: Instant) -> Self {
        Self { cell, clock, started }
    }

    /// Counts the end of the answer.
    pub(crate) fn ended(&self, status: StatusCode, end: AnswerEnd) {
        match end {
            AnswerEnd::Complete => {
                let latency = self.clock.now().since(self.started);
                self.cell.answered(latency, status.is_server_error());
            }
            AnswerEnd::Broken => self.cell.failed(RefusalReason::BrokenExchange),
            AnswerEnd::TimedOut => self.cell.failed(RefusalReason::DeadlinePassed),
            AnswerEnd::Dropped => self.cell.cancelled(),
        }
    }
}
