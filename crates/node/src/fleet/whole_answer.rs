//! Reads a whole answer.

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use std::sync::Arc;

use crate::calls::answer_body::AnswerBody;
use crate::calls::exchange::Exchange;
use crate::calls::exchange_pool::ExchangePool;

/// The largest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The answer did not come whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IncompleteAnswer;

/// Reads the rest of `response`, which came over `exchange`, until `until`. The connection
/// goes back to `pool` if it can carry another exchange.
pub(crate) async fn read(
    response: Response<Incoming>,
    exchange: Exchange,
    pool: &Arc<ExchangePool>,
    until: tokio::time::Instant,
) -> Result<Response<Bytes>, IncompleteAnswer> {
    let (parts, incoming) = response.into_parts();
    let timeout = Box::pin(tokio::time::sleep_until(until));
    let body = AnswerBody::stream(parts.status, incoming, exchange, Arc::clone(pool), timeout);
    let body =
        Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|_| IncompleteAnswer)?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}
