//! The load that a call puts on its endpoint.

use std::sync::Arc;

use almondsail_core::traffic::EndpointLoad;
use almondsail_core::units::Instant;
use http::StatusCode;

use crate::calls::answer_end::AnswerEnd;
use crate::clock::Clock;

/// A call in flight to an endpoint; counted until it is dropped.
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

    /// Notes that the endpoint's node could not be reached.
    pub(crate) fn record_unreachable(&self) {
        self.load.unreachable(self.clock.now());
    }

    /// Notes that the exchange failed.
    pub(crate) fn record_failure(&self) {
        self.load.failed(self.clock.now());
    }

    /// Notes that the endpoint refused the call.
    pub(crate) fn record_refusal(&self) {
        self.load.refused(self.clock.now());
    }

    /// Notes the end of the answer.
    pub(crate) fn record_end(&self, status: StatusCode, end: AnswerEnd) {
        let now = self.clock.now();
        match end {
            // A backend server that fails fast must not look like a fast one.
            AnswerEnd::Complete if status.is_server_error() => self.load.failed(now),
            AnswerEnd::Complete => self.load.succeeded(now, now.since(self.started)),
            AnswerEnd::Broken | AnswerEnd::TimedOut => self.load.failed(now),
            AnswerEnd::Dropped => {}
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.load.end();
    }
}
