//! Answers requests of other nodes: forwarded calls and fetches of the configuration.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::units::{Instant, Micros};
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Request, Response, StatusCode};

use crate::calls::call_headers;
use crate::fleet::call_failure::{CallFailure, FAILURE_HEADER};
use crate::fleet::config_source::{ConfigSource, Offer};
use crate::fleet::forwarded_call::ForwardedCall;
use crate::fleet::hop::{HOP_HEADER, Hop};
use crate::fleet::http1::RequestError;
use crate::fleet::inbound;
use crate::fleet::reported_load::LOAD_HEADER;
use crate::fleet::traffic::FleetTraffic;

/// Path at which other nodes fetch this node's configuration.
pub(crate) const CONFIG_PATH: &str = "/fleet/config";
/// Content coding of a compressed configuration.
pub(crate) const DEFLATE: &str = "deflate";

/// Answers a request of another node: a forwarded call if it has a [`HOP_HEADER`], otherwise a
/// fetch of the configuration.
pub(crate) async fn answer(
    traffic: Arc<FleetTraffic>,
    source: Arc<ConfigSource>,
    request: Request<Bytes>,
) -> Response<Bytes> {
    let Some(hop) = request.headers().get(HOP_HEADER).cloned() else {
        return config_response(&source, traffic.clock.now(), &request);
    };
    let hop = hop.to_str().ok().and_then(|hop| hop.parse::<Hop>().ok());
    let Some(hop) = hop else {
        return failure_response(&CallFailure::refused(RefusalReason::BadRequest, Micros::new(0)));
    };
    let call = ForwardedCall::from_hop(hop, traffic.clock.now(), request);
    let (result, load) = inbound::serve(&traffic, &call).await;
    let mut response = result.unwrap_or_else(|failure| failure_response(&failure));
    call_headers::set(response.headers_mut(), LOAD_HEADER, load);
    response
}

/// Builds the response to a request that can't be read, and so has not run.
pub(crate) fn refusal(error: RequestError) -> Response<Bytes> {
    failure_response(&CallFailure::refused(error.reason(), Micros::new(0)))
}

fn failure_response(failure: &CallFailure) -> Response<Bytes> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    call_headers::set(response.headers_mut(), FAILURE_HEADER, failure);
    response
}

fn config_response(
    source: &ConfigSource,
    now: Instant,
    request: &Request<Bytes>,
) -> Response<Bytes> {
    if request.uri().path() != CONFIG_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    match source.offer(now) {
        Offer::Compressed(compressed) => text_response(request.headers(), compressed),
        Offer::Busy => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        Offer::Nothing => empty_response(StatusCode::NOT_FOUND),
    }
}

/// Builds the response with the text of a configuration. Earlier builds don't ask for a compressed
/// one.
fn text_response(headers: &HeaderMap, compressed: Bytes) -> Response<Bytes> {
    if headers.get(header::ACCEPT_ENCODING).is_some_and(|coding| coding == DEFLATE) {
        let mut response = Response::new(compressed);
        response.headers_mut().insert(header::CONTENT_ENCODING, HeaderValue::from_static(DEFLATE));
        return response;
    }
    match almondsail_wire::decompress(&compressed) {
        Ok(text) => Response::new(text.into()),
        Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
    response
}
