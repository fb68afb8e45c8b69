//! Actions at the end of an answer.

use bytes::Bytes;
use http::StatusCode;

use crate::calls::answer_end::AnswerEnd;
use crate::calls::answer_recorder::AnswerRecorder;
use crate::calls::call_timer::CallTimer;
use crate::calls::in_flight::InFlight;
use crate::calls::slot::{Slot, SlotEnd};

/// A part of the node that is notified of the data and the end of an answer.
#[derive(Debug)]
pub(crate) enum AnswerWatcher {
    /// Frees the slot that the call holds at the backend server beside this node.
    Slot(Slot),
    /// Updates the load of the endpoint that ran the call.
    Load(InFlight),
    /// Counts the call and its latency.
    Count(CallTimer),
    /// Records the answer for repeats of the call.
    Record(AnswerRecorder),
}

impl AnswerWatcher {
    /// Processes bytes that are passed on to the caller.
    pub(crate) fn on_data(&mut self, data: &Bytes) {
        match self {
            Self::Record(recorder) => recorder.on_data(data),
            Self::Slot(_) | Self::Load(_) | Self::Count(_) => {}
        }
    }

    /// Processes the end of an answer with status `status`.
    pub(crate) fn on_end(self, status: StatusCode, end: AnswerEnd) {
        match (self, end) {
            (Self::Slot(slot), AnswerEnd::Complete) => slot.end(SlotEnd::Measured),
            (Self::Slot(slot), AnswerEnd::TimedOut) => slot.end(SlotEnd::Measured),
            (Self::Slot(slot), AnswerEnd::Broken | AnswerEnd::Dropped) => {
                slot.end(SlotEnd::Unmeasured)
            }
            (Self::Load(in_flight), end) => in_flight.record_end(status, end),
            (Self::Count(timer), end) => timer.record_end(status, end),
            (Self::Record(recorder), AnswerEnd::Complete) => recorder.complete(),
            (Self::Record(_), _) => {}
        }
    }
}
