//! Forwards calls to other nodes.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::ids::NodeId;
use bytes::Bytes;
use http::Response;
use http::header::{HeaderMap, HeaderName};

use crate::fleet::call_failure::{CallFailure, FAILURE_HEADER};
use crate::fleet::forwarded_call::ForwardedCall;
use crate::fleet::reported_load::{LOAD_HEADER, ReportedLoad};
use crate::fleet::traffic::FleetTraffic;
use crate::fleet::whole_answer;

/// Forwards `call` to `node` at `address` and records the load that the node reports. A failure
/// that the node reports becomes the error.
pub(crate) async fn send(
    traffic: &Arc<FleetTraffic>,
    node: &NodeId,
    address: SocketAddr,
    call: &ForwardedCall,
) -> Result<Response<Bytes>, CallFailure> {
    let clock = traffic.clock;
    let started = clock.now();
    let pool = traffic.endpoint_pool(address);
    let until = clock.to_tokio_instant(call.deadline);
    let (response, connection) = pool
        .send(|| call.endpoint_request(clock.now()), until)
        .await
        .map_err(|error| CallFailure::from_exchange(&error, RefusalReason::ConnectFailed))?;
    let mut response =
        whole_answer::read(response, connection, &pool, until, &traffic.answer_budget)
            .await
            .map_err(|_| CallFailure::may_have_run(RefusalReason::BrokenExchange))?;
    if let Some(load) = take::<ReportedLoad>(response.headers_mut(), &LOAD_HEADER) {
        traffic.record_load(node, &call.route, load, clock.now().since(started));
    }
    if response.headers().contains_key(FAILURE_HEADER) {
        let bad = CallFailure::may_have_run(RefusalReason::BadAnswer);
        return Err(take(response.headers_mut(), &FAILURE_HEADER).unwrap_or(bad));
    }
    Ok(response)
}

/// Removes the header `name` and parses its value; `None` if it is absent or malformed.
fn take<T: FromStr>(headers: &mut HeaderMap, name: &HeaderName) -> Option<T> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}
