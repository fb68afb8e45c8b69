//! Why a call has no answer from a backend server.

use std::fmt;
use std::str::FromStr;

use almondsail_core::fleet::{CallOutcome, FailedAttempt};
use almondsail_core::units::Micros;
use almondsail_core::{RefusalReason, Verdict};
use bytes::Bytes;
use http::Response;
use http::header::HeaderName;

use crate::calls::client_connection::ExchangeError;

/// Header in which a node reports a failed call to the entry node that forwarded it.
pub(crate) const FAILURE_HEADER: HeaderName = HeaderName::from_static("almondsail-failure");

/// Failure of a call, or of one attempt, that has no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallFailure {
    /// Whether the call may have run at a backend server.
    pub(crate) verdict: Verdict,
    /// Cause of the failure, as reported to callers and in the log.
    pub(crate) reason: RefusalReason,
    /// Whether the call arrived at a backend server.
    pub(crate) has_arrived: bool,
    /// How long the caller should wait before a retry; only meaningful if the call did not run.
    pub(crate) retry_after: Micros,
}

impl CallFailure {
    /// Creates the failure of a call that a node refused before it reached a backend server.
    pub(crate) const fn refused(reason: RefusalReason, retry_after: Micros) -> Self {
        Self { verdict: Verdict::RefusedUnrun, reason, has_arrived: false, retry_after }
    }

    /// Creates the failure of a call that was not sent, since no connection could be opened.
    pub(crate) const fn not_sent(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::NotSent, reason, has_arrived: false, retry_after: Micros::new(0) }
    }

    /// Creates the failure of a call that the backend server refused because of overload.
    pub(crate) const fn shed(retry_after: Micros) -> Self {
        Self {
            verdict: Verdict::RefusedUnrun,
            reason: RefusalReason::BackendShed,
            has_arrived: true,
            retry_after,
        }
    }

    /// Creates the failure of a call that was sent and has no complete, valid answer.
    pub(crate) const fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            has_arrived: true,
            retry_after: Micros::new(0),
        }
    }

    /// Converts the error of an HTTP exchange; `not_sent` is the reason if no byte was sent.
    pub(crate) const fn from_exchange(error: &ExchangeError, not_sent: RefusalReason) -> Self {
        match error {
            ExchangeError::NotSent => Self::not_sent(not_sent),
            ExchangeError::Broken => Self::may_have_run(RefusalReason::BrokenExchange),
            ExchangeError::BadAnswer => Self::may_have_run(RefusalReason::BadAnswer),
            ExchangeError::TimedOut => Self::may_have_run(RefusalReason::DeadlinePassed),
        }
    }

    /// Converts the failure for the retry decision.
    pub(crate) const fn as_failed_attempt(&self) -> FailedAttempt {
        FailedAttempt { verdict: self.verdict, has_arrived: self.has_arrived }
    }
}

/// Summarizes the result of a call for the log.
pub(crate) fn outcome(result: Result<&Response<Bytes>, &CallFailure>) -> CallOutcome {
    match result {
        Ok(response) => CallOutcome::Answered(response.status().as_u16()),
        Err(failure) => CallOutcome::Failed {
            verdict: failure.verdict,
            reason: failure.reason,
            has_arrived: failure.has_arrived,
            retry_after: failure.retry_after,
        },
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { verdict, reason, has_arrived, retry_after } = self;
        write!(f, "{verdict} {reason} {has_arrived} {}", retry_after.get())
    }
}

/// Error for a malformed [`FAILURE_HEADER`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ParseCallFailureError;

impl FromStr for CallFailure {
    type Err = ParseCallFailureError;

    fn from_str(s: &str) -> Result<Self, ParseCallFailureError> {
        let mut parts = s.split(' ');
        let mut next = || parts.next().ok_or(ParseCallFailureError);
        Ok(Self {
            verdict: next()?.parse().map_err(|_| ParseCallFailureError)?,
            reason: next()?.parse().map_err(|_| ParseCallFailureError)?,
            has_arrived: next()?.parse().map_err(|_| ParseCallFailureError)?,
            retry_after: Micros::new(next()?.parse().map_err(|_| ParseCallFailureError)?),
        })
    }
}
