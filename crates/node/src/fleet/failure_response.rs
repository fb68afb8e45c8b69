//! Responses to callers whose requests have no answer from a backend server.

use almondsail_core::units::Micros;
use almondsail_core::{RefusalReason, Verdict};
use almondsail_platform::calls as platform_calls;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use rand::Rng as _;

use crate::calls::call_headers;
use crate::fleet::call_failure::CallFailure;
use crate::fleet::http1::RequestError;

/// Retry delay for requests whose bodies the node has no memory for: about the time in which it
/// passes on and frees others.
const BODY_MEMORY_RETRY_AFTER: Micros = Micros::new(500_000);

/// Builds the response to a request that has no answer from a backend server.
pub(crate) fn unanswered(failure: &CallFailure, id: Option<&HeaderValue>) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = failure_status(failure);
    let headers: &mut HeaderMap = response.headers_mut();
    if has_not_run(failure) {
        set_retry_after(headers, failure);
    }
    call_headers::set_failure(headers, failure.verdict, failure.reason);
    if let Some(id) = id {
        platform_calls::set_attempt_id(headers, id);
    }
    response
}

/// Tells the caller when to come back, spread so that callers don't come back together.
fn set_retry_after(headers: &mut HeaderMap, failure: &CallFailure) {
    let seconds = failure.retry_after.get() as f64 / 1e6 * rand::rng().random_range(0.8..1.2);
    call_headers::set(headers, header::RETRY_AFTER, format_args!("{:.3}", seconds.max(0.05)));
}

/// Builds the response to a request that can't be read, and so has not run.
pub(crate) fn refusal(error: RequestError) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = error.status();
    if error == RequestError::NoMemory {
        let failure = CallFailure::refused(error.reason(), BODY_MEMORY_RETRY_AFTER);
        set_retry_after(response.headers_mut(), &failure);
    }
    response
}

/// Returns whether the failure guarantees that the request has not run and never will.
const fn has_not_run(failure: &CallFailure) -> bool {
    !matches!(failure.verdict, Verdict::MayHaveRun)
}

/// Maps a failure to its status. 503 guarantees that the request has not run and never will.
const fn failure_status(failure: &CallFailure) -> StatusCode {
    match (failure.verdict, failure.reason) {
        (_, RefusalReason::UnknownRoute) => StatusCode::NOT_FOUND,
        (_, RefusalReason::UnknownCredential) => StatusCode::UNAUTHORIZED,
        (_, RefusalReason::QuotaExceeded) => StatusCode::TOO_MANY_REQUESTS,
        (Verdict::NotSent | Verdict::RefusedUnrun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (Verdict::MayHaveRun, RefusalReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        (Verdict::MayHaveRun, _) => StatusCode::BAD_GATEWAY,
    }
}
