//! The count of a call when its answer ends.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::units::Instant;
use http::StatusCode;

use crate::calls::answer_end::AnswerEnd;
use crate::calls::call_counters::CounterSet;
use crate::clock::Clock;

/// Counts the end of a call in one cell.
#[derive(Debug)]
pub(crate) struct CallTimer {
    counters: Arc<CounterSet>,
    clock: Clock,
    started: Instant,
}

impl CallTimer {
    pub(crate) const fn new(counters: Arc<CounterSet>, clock: Clock, started: Instant) -> Self {
        Self { counters, clock, started }
    }

    /// Counts the end of the answer.
    pub(crate) fn record_end(&self, status: StatusCode, end: AnswerEnd) {
        match end {
            AnswerEnd::Complete => {
                let latency = self.clock.now().since(self.started);
                self.counters.count_answer(latency, status.is_server_error());
            }
            AnswerEnd::Broken => self.counters.count_failure(RefusalReason::BrokenExchange),
            AnswerEnd::TimedOut => self.counters.count_failure(RefusalReason::DeadlinePassed),
            AnswerEnd::Dropped => self.counters.count_cancellation(),
        }
    }
}
