//! The HTTP server for other nodes of the installation.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::calls::buffered_body::BufferedBody;
use crate::calls::call_handler::full;
use crate::calls::call_headers;
use crate::calls::claim_handover::ClaimHandover;
use crate::calls::failure::Failure;
use crate::calls::forwarded_call::{ForwardedCall, InboundRequestKind, required};
use crate::calls::handover_batch;
use crate::calls::inbound;
use crate::calls::traffic::{Inner, Traffic};
use crate::clock::to_std_duration;

/// Accepts requests of other nodes on `listener` until `stop` becomes true, then waits for
/// those in flight. While the node is leaving, its claims are handed over.
pub async fn serve_inbound(
    listener: tokio::net::TcpListener,
    traffic: Traffic,
    stop: tokio::sync::watch::Receiver<bool>,
) {
    let inner = Arc::clone(&traffic.inner);
    let mut handover = ClaimHandover::new(Arc::clone(&inner));
    let serve = crate::calls::server::serve(listener, &traffic.inner, stop, move |request, _| {
        let inner = Arc::clone(&inner);
        async move { Ok::<_, std::convert::Infallible>(answer(&inner, request).await) }
    });
    tokio::select! {
        () = serve => {}
        () = handover.run() => {}
    }
    handover.finish().await;
}

async fn answer(inner: &Arc<Inner>, request: Request<Incoming>) -> Response<Body> {
    let mut response = match dispatch(inner, request).await {
        Ok(response) => response,
        Err(failure) => {
            let mut response = failure.to_response().map(full);
            if let Some(holder) = &failure.holder {
                call_headers::set(response.headers_mut(), call_headers::HOLDER, holder);
            }
            response
        }
    };
    call_headers::set(response.headers_mut(), call_headers::LOAD, inner.slots.load());
    response
}

async fn dispatch(
    inner: &Arc<Inner>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    if !inner.token.matches(request.headers().get(call_headers::TOKEN)) {
        return Err(Failure::refused(RefusalReason::PeerUnauthorized));
    }
    let refuse = |_| Failure::refused(RefusalReason::BadRequest);
    match required::<InboundRequestKind>(request.headers(), &call_headers::MESSAGE)
        .map_err(refuse)?
    {
        message @ (InboundRequestKind::Claim | InboundRequestKind::Release) => {
            let headers: &HeaderMap = request.headers();
            Ok(inner.claims.answer(message, headers).map(full))
        }
        InboundRequestKind::Handover => take_over(inner, request).await,
        InboundRequestKind::Call | InboundRequestKind::Replay => call(inner, request).await,
    }
}

async fn call(inner: &Arc<Inner>, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let now = inner.clock.now();
    let (parts, body) = request.into_parts();
    let buffered = read(inner, body).await?;
    let call = ForwardedCall::from_request(parts, buffered.bytes().clone(), now)
        .map_err(|_| Failure::refused(RefusalReason::BadRequest))?;
    let answer = inbound::run(inner, call).await?;
    Ok(answer.map(|body| body.boxed_unsync()))
}

/// Registers the claims that a leaving node hands over.
async fn take_over(
    inner: &Arc<Inner>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let buffered = read(inner, request.into_body()).await?;
    let claims = handover_batch::decode(buffered.bytes())
        .map_err(|_| Failure::refused(RefusalReason::BadRequest))?;
    inner.claims.take_over(claims);
    Ok(Response::new(full(Bytes::new())))
}

async fn read(inner: &Arc<Inner>, body: Incoming) -> Result<BufferedBody, Failure> {
    let read = BufferedBody::read(body, &inner.body_budget);
    tokio::time::timeout(to_std_duration(inner.settings.body_timeout), read)
        .await
        .unwrap_or(Err(RefusalReason::BadRequest))
        .map_err(Failure::refused)
}
