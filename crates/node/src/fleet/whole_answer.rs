//! Reads a complete answer into memory.

use bytes::Bytes;
use futures::FutureExt as _;
use http::Response;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use std::sync::Arc;

use crate::calls::answer_body::AnswerBody;
use crate::calls::client_connection::ClientConnection;
use crate::calls::connection_pool::ConnectionPool;

/// Size limit of an answer's body.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Error for an answer that broke off, timed out or exceeded the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IncompleteAnswer;

/// Reads the body of `response`, which arrives over `connection`, until the time `until`. The
/// connection returns to `pool` if it can be reused.
pub(crate) async fn read(
    response: Response<Incoming>,
    connection: ClientConnection,
    pool: &Arc<ConnectionPool>,
    until: tokio::time::Instant,
) -> Result<Response<Bytes>, IncompleteAnswer> {
    let (parts, incoming) = response.into_parts();
    let timeout = Box::pin(tokio::time::sleep_until(until));
    let body = AnswerBody::stream(parts.status, incoming, connection, Arc::clone(pool), timeout);
    let body =
        Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|_| IncompleteAnswer)?;
    Ok(Response::from_parts(parts, body.to_bytes()))
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
    let timeout = Box::pin(tokio::time::sleep_until(until));
    let body = AnswerBody::stream(parts.status, incoming, connection, Arc::clone(pool), timeout);
    let _ended = body.discard().now_or_never();
}
