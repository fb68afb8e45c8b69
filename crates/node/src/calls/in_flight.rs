//! Calls in flight, for the load of endpoints.

use std::sync::Arc;

use almondsail_core::traffic::EndpointLoad;
use almondsail_core::units::Instant;
use http::StatusCode;

use crate::calls::answer_end::AnswerEnd;
use crate::clock::Clock;

/// A call in flight, which counts towards the load of its endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    load: Arc<EndpointLoad>,
    clock: Clock,
    started: Instant,
}

impl InFlight {
    pub(crate) fn start(load: Arc<EndpointLoad>, clock: Clock) -> Self {
        load.start();
        Self { load, clock, started: clock.now() }
    }

    /// Records that the endpoint could not be reached.
    pub(crate) fn record_unreachable(&self) {
        self.load.record_unreachable(self.clock.now());
    }

    /// Records a call that may have run but got no valid answer.
    pub(crate) fn record_failure(&self) {
        self.load.record_failure(self.clock.now());
    }

    /// Records that the endpoint refused the call.
    pub(crate) fn record_refusal(&self) {
        self.load.record_refusal(self.clock.now());
    }

    /// Records the result and latency of a call whose answer has ended.
    pub(crate) fn record_end(&self, status: StatusCode, end: AnswerEnd) {
        let now = self.clock.now();
        match end {
            // A low latency of errors must not draw calls to a failing backend server.
            AnswerEnd::Complete if status.is_server_error() => self.load.record_failure(now),
            AnswerEnd::Complete => self.load.succeeded(now, now.since(self.started)),
            AnswerEnd::Broken | AnswerEnd::TimedOut => self.load.record_failure(now),
            AnswerEnd::Dropped => {}
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.load.end();
    }
}
