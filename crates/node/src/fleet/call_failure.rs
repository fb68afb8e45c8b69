//! A call that has no answer of a backend server.

use std::fmt;
use std::str::FromStr;

use almondsail_core::fleet::{CallOutcome, FailedAttempt};
use almondsail_core::units::Micros;
use almondsail_core::{RefusalReason, Verdict};
use bytes::Bytes;
use http::Response;
use http::header::HeaderName;

use crate::calls::exchange::ExchangeError;

/// The header in which a node reports a failure to an entry node.
pub(crate) const FAILURE_HEADER: HeaderName = HeaderName::from_static("almondsail-failure");

/// A call that has no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallFailure {
    /// Whether it may have run.
    pub(crate) verdict: Verdict,
    /// Why it failed.
    pub(crate) reason: RefusalReason,
    /// Whether it arrived at a backend server.
    pub(crate) has_arrived: bool,
    /// After how long it may come again, if it did not run.
    pub(crate) retry_after: Micros,
}

impl CallFailure {
    /// Refused before it reached a backend server.
    pub(crate) const fn refused(reason: RefusalReason, retry_after: Micros) -> Self {
        Self { verdict: Verdict::RefusedUnrun, reason, has_arrived: false, retry_after }
    }

    /// Not sent: no connection could be opened.
    pub(crate) const fn not_sent(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::NotSent, reason, has_arrived: false, retry_after: Micros::new(0) }
    }

    /// Refused by the backend server.
    pub(crate) const fn shed(retry_after: Micros) -> Self {
        Self {
            verdict: Verdict::RefusedUnrun,
            reason: RefusalReason::BackendShed,
            has_arrived: true,
            retry_after,
        }
    }

    /// Sent, and without a whole answer.
    pub(crate) const fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            has_arrived: true,
            retry_after: Micros::new(0),
        }
    }

    /// The failure of an exchange; `not_sent` is the reason if no byte was sent.
    pub(crate) const fn from_exchange_error(
        error: &ExchangeError,
        not_sent: RefusalReason,
    ) -> Self {
        match error {
            ExchangeError::NotSent => Self::not_sent(not_sent),
            ExchangeError::Broken => Self::may_have_run(RefusalReason::BrokenExchange),
            ExchangeError::BadAnswer => Self::may_have_run(RefusalReason::BadAnswer),
            ExchangeError::TimedOut => Self::may_have_run(RefusalReason::DeadlinePassed),
        }
    }

    /// The failure as an attempt of a call.
    pub(crate) const fn as_failed_attempt(&self) -> FailedAttempt {
        FailedAttempt { verdict: self.verdict, has_arrived: self.has_arrived }
    }
}

/// How a call ended, for the log.
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

/// The header is malformed.
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
