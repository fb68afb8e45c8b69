//! What happens when an answer ends.

use bytes::Bytes;
use http::StatusCode;

use crate::calls::answer_end::AnswerEnd;
use crate::calls::answer_recorder::AnswerRecorder;
use crate::calls::call_timer::CallTimer;
use crate::calls::in_flight::InFlight;
use crate::calls::slot::{Slot, SlotEnd};

/// A part of the node that is told how an answer ended.
#[derive(Debug)]
pub(crate) enum AnswerWatcher {
    /// The slot that the call holds at the backend server beside this node.
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
    pub(crate) fn on_data(&mut self, data: &Bytes) {
        match self {
            Self::Record(recorder) => recorder.on_data(data),
            Self::Slot(_) | Self::Load(_) | Self::Count(_) => {}
        }
    }

    /// Notes the end.
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
