//! Idempotency keys that this node registers, and answers that it recorded.

use std::sync::{Mutex, PoisonError};

use almondsail_core::ids::CallKey;
use almondsail_core::traffic::{ClaimAnswer, HandoverClaim, KeyClaims, RecordedAnswers, Replay};
use almondsail_core::units::ByteCount;
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};

use crate::calls::call_headers;
use crate::calls::claim::Claim;
use crate::calls::forwarded_call::InboundRequestKind;
use crate::calls::recorded_answer::RecordedAnswer;
use crate::clock::Clock;

/// The idempotency keys for which this node is a registrar, and the answers of calls with a key that
/// ran on this node.
#[derive(Debug)]
pub(crate) struct Claims {
    clock: Clock,
    keys: Mutex<KeyClaims>,
    answers: Mutex<RecordedAnswers<RecordedAnswer>>,
}

impl Claims {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            keys: Mutex::new(KeyClaims::new(clock.now())),
            answers: Mutex::new(RecordedAnswers::new()),
        }
    }

    /// Records the complete answer of the call with `key`, so that it can be given to repeats.
    pub(crate) fn record(&self, key: CallKey, size: ByteCount, answer: RecordedAnswer) {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.record(self.clock.now(), key, size, answer);
    }

    /// Looks up the recorded answer of the call with `key`.
    pub(crate) fn replay(&self, key: &CallKey) -> Replay<RecordedAnswer> {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.replay(self.clock.now(), key)
    }

    /// Registers the key of `claim` for its call, unless another call holds it.
    pub(crate) fn claim(&self, claim: &Claim) -> ClaimAnswer {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        keys.claim(now, &claim.service, &claim.key, claim.call, &claim.holder)
    }

    /// Frees the key of `claim` if its call holds it.
    pub(crate) fn release(&self, claim: &Claim) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        keys.release(&claim.service, &claim.key, claim.call, &claim.holder);
    }

    /// Returns at most `limit` claims from sequence number `number` on, and the next number.
    pub(crate) fn claims_from(&self, number: u64, limit: usize) -> (Vec<HandoverClaim>, u64) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        keys.claims_from(self.clock.now(), number, limit)
    }

    /// Registers claims that a leaving node has handed over.
    pub(crate) fn take_over(&self, claims: Vec<HandoverClaim>) {
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        for claim in claims {
            keys.take_over(now, claim);
        }
    }

    /// Answers a request of another node to claim or release a key.
    pub(crate) fn answer(
        &self,
        request: InboundRequestKind,
        headers: &HeaderMap,
    ) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        let Ok(claim) = Claim::from_headers(headers) else {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        };
        if request == InboundRequestKind::Release {
            self.release(&claim);
            return response;
        }
        let (text, holder) = match self.claim(&claim) {
            ClaimAnswer::Granted { is_certain: true } => ("sure", None),
            ClaimAnswer::Granted { is_certain: false } => ("granted", None),
            ClaimAnswer::Held { holder } => ("held", Some(holder)),
            ClaimAnswer::Full => ("full", None),
        };
        call_headers::set(response.headers_mut(), call_headers::CLAIM, text);
        if let Some(holder) = holder {
            call_headers::set(response.headers_mut(), call_headers::HOLDER, holder);
        }
        response
    }
}
