//! Reads a complete answer into memory.

use std::sync::Arc;

use almondsail_core::traffic::AnswerBudget;
use bytes::Bytes;
use futures::FutureExt as _;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use crate::calls::answer_body::AnswerBody;
use crate::calls::answer_limit::AnswerLimit;
use crate::calls::answer_reservation::AnswerReservation;
use crate::calls::body_bytes::BodyBytes;
use crate::calls::client_connection::ClientConnection;
use crate::calls::connection_pool::ConnectionPool;
use crate::calls::held_answer::HeldAnswer;

/// Error for an answer that broke off, timed out or exceeded the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IncompleteAnswer;

/// Reads the body of `response`, which arrives over `connection`, until the time `until` and within
/// `budget`, which gives the memory back once the returned body is dropped. The connection returns to `pool` if it can be reused.
pub(crate) async fn read(
    response: Response<Incoming>,
    connection: ClientConnection,
    pool: &Arc<ConnectionPool>,
    until: tokio::time::Instant,
    budget: &Arc<AnswerBudget>,
) -> Result<Response<Bytes>, IncompleteAnswer> {
    if response.body().size_hint().lower() > AnswerBudget::MAX_ANSWER.get() {
        return Err(IncompleteAnswer);
    }
    let limit = AnswerLimit::held(AnswerReservation::new(Arc::clone(budget)));
    let (parts, incoming) = response.into_parts();
    let (pool, timeout) = (Arc::clone(pool), Box::pin(tokio::time::sleep_until(until)));
    let mut body = AnswerBody::stream(parts.status, incoming, connection, pool, timeout, limit);
    let mut bytes = BodyBytes::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| IncompleteAnswer)?;
        bytes.push(frame.into_data().unwrap_or_default());
    }
    let bytes = bytes.into_bytes();
    let bytes = match body.take_reservation() {
        Some(reservation) => HeldAnswer::into_bytes(bytes, reservation),
        None => bytes,
    };
    Ok(Response::from_parts(parts, bytes))
}

/// Returns `connection` to `pool` if the body of `response` has arrived, and closes it otherwise.
/// Waits for nothing, so that a caller learns of a refusal at once.
pub(crate) fn discard(
    response: Response<Incoming>,
    connection: ClientConnection,
    pool: &Arc<ConnectionPool>,
    until: tokio::time::Instant,
) {
    let (parts, incoming) = response.into_parts();
    let (pool, timeout) = (Arc::clone(pool), Box::pin(tokio::time::sleep_until(until)));
    let limit = AnswerLimit::Streamed;
    let body = AnswerBody::stream(parts.status, incoming, connection, pool, timeout, limit);
    let _ended = body.discard().now_or_never();
}
