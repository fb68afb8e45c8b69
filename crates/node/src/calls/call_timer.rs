//! Counts calls and their latency at the end of the answer.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::units::Instant;
use http::StatusCode;

use crate::calls::answer_end::AnswerEnd;
use crate::calls::call_counters::CounterSet;
use crate::clock::Clock;

/// Counts a call, with its latency since `started`, when its answer ends.
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

    /// Counts the call by the way in which its answer ended.
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
