//! What happens when an answer ends.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::traffic::EndpointLoad;
use almondsail_core::units::Instant;
use bytes::Bytes;
use http::StatusCode;

use crate::answer_recorder::AnswerRecorder;
use crate::call_counters::CallCell;
use crate::clock::Clock;
use crate::slot::{Slot, SlotEnd};

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// Every byte was passed on.
    Complete,
    /// The exchange broke or the answer is malformed.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The caller gave up.
    Dropped,
}

/// A part of the node that is told how an answer ended.
#[derive(Debug)]
pub(crate) enum AnswerWatcher {
    /// The slot that the call holds at this node's door.
    Slot(Slot),
    /// The call's share of the load of its endpoint.
    Load(InFlight),
    /// The counters.
    Count(CallTimer),
    /// The record for repeats of the call.
    Record(AnswerRecorder),
}

impl AnswerWatcher {
    /// Notes bytes that were passed on.
    pub(crate) fn passed(&mut self, data: &Bytes) {
        match self {
            Self::Record(recorder) => recorder.passed(data),
            Self::Slot(_) | Self::Load(_) | Self::Count(_) => {}
        }
    }

    /// Notes the end.
    pub(crate) fn ended(self, status: StatusCode, end: AnswerEnd) {
        match (self, end) {
            (Self::Slot(slot), AnswerEnd::Complete) => slot.end(SlotEnd::Ran),
            (Self::Slot(slot), AnswerEnd::TimedOut) => slot.end(SlotEnd::Ran),
            (Self::Slot(slot), AnswerEnd::Broken | AnswerEnd::Dropped) => slot.end(SlotEnd::Other),
            (Self::Load(in_flight), end) => in_flight.ended(status, end),
            (Self::Count(timer), end) => timer.ended(status, end),
            (Self::Record(recorder), AnswerEnd::Complete) => recorder.complete(),
            (Self::Record(_), _) => {}
        }
    }
}

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
    pub(crate) fn unreachable(&self) {
        self.load.unreachable(self.clock.now());
    }

    /// Notes that the exchange failed.
    pub(crate) fn failed(&self) {
        self.load.failed(self.clock.now());
    }

    /// Notes that the door refused the call.
    pub(crate) fn refused(&self) {
        self.load.refused(self.clock.now());
    }

    fn ended(&self, status: StatusCode, end: AnswerEnd) {
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

    fn ended(&self, status: StatusCode, end: AnswerEnd) {
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
