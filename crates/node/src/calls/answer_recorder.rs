//! Records answers of calls with an idempotency key.

use std::sync::Arc;

use almondsail_core::ids::CallKey;
use almondsail_core::traffic::RecordedAnswers;
use almondsail_core::units::ByteCount;
use bytes::Bytes;

use crate::calls::claims::Claims;
use crate::calls::recorded_answer::RecordedAnswer;

/// Copies an answer while it is passed on, to give it to repeats of the call.
#[derive(Debug)]
pub(crate) struct AnswerRecorder {
    claims: Arc<Claims>,
    key: CallKey,
    answer: RecordedAnswer,
    /// The body so far; `None` once it exceeds the largest size that is recorded.
    body: Option<Vec<u8>>,
}

const MAX_ANSWER: usize = RecordedAnswers::<RecordedAnswer>::MAX_ANSWER.get() as usize;

impl AnswerRecorder {
    /// Starts to record the answer to the call with `key`, whose status and headers are in `answer`.
    pub(crate) const fn new(claims: Arc<Claims>, key: CallKey, answer: RecordedAnswer) -> Self {
        Self { claims, key, answer, body: Some(Vec::new()) }
    }

    pub(crate) fn on_data(&mut self, data: &Bytes) {
        if let Some(body) = &mut self.body {
            body.extend_from_slice(data);
            if body.len() > MAX_ANSWER {
                self.body = None;
            }
        }
    }

    pub(crate) fn complete(self) {
        let Some(body) = self.body else { return };
        let size = body.len() + crate::calls::call_headers::size(&self.answer.headers);
        let answer = RecordedAnswer { body: body.into(), ..self.answer };
        self.claims.record(self.key, ByteCount::new(size as u64), answer);
    }
}
