//! The expected place of a waiting call.

use crate::RefusalReason;
use crate::fleet::fair_share::VirtualTime;
use crate::fleet::precedence::Precedence;
use crate::fleet::waiting_call::WaitingCall;
use crate::fleet::{CallValue, QueueTicket};
use crate::units::{Instant, Micros};

/// A waiting call with its place in the order and what it is worth there.
#[derive(Debug, Clone)]
pub(super) struct PlannedCall<'a> {
    pub(super) call: &'a WaitingCall,
    pub(super) precedence: Precedence,
    /// The virtual time of its holder when it starts; 0 if the targets alone order its precedence.
    pub(super) tag: VirtualTime,
    /// Whether it would be late even if it started now.
    pub(super) is_late: bool,
    pub(super) run_time: Micros,
    /// How long it is expected to wait.
    pub(super) wait: Micros,
    /// What it is worth if it starts after that.
    pub(super) value: CallValue,
    /// Why it should not wait any longer; `None` if it should.
    pub(super) refusal: Option<RefusalReason>,
}

impl PlannedCall<'_> {
    pub(super) const fn ticket(&self) -> QueueTicket {
        self.call.ticket
    }

    /// Returns the key by which waiting calls run.
    pub(super) const fn order(&self) -> impl Ord + use<> {
        (self.precedence, self.tag, self.is_late, self.call.requirements.target, self.call.ticket)
    }

    /// Returns the value if the call starts at `start`.
    pub(super) fn value_at(&self, start: Instant) -> CallValue {
        let requirements = &self.call.requirements;
        CallValue::new(start, self.run_time, requirements.target, requirements.deadline)
    }
}
