//! Sends calls to other nodes.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::ids::NodeId;
use bytes::Bytes;
use http::Response;
use http::header::{HeaderMap, HeaderName};

use crate::fleet::call_failure::{CallFailure, FAILURE};
use crate::fleet::forwarded_call::ForwardedCall;
use crate::fleet::reported_load::{LOAD, ReportedLoad};
use crate::fleet::traffic::FleetTraffic;
use crate::fleet::whole_answer;

/// Sends `call` to `node` at `address`.
pub(crate) async fn send(
    traffic: &Arc<FleetTraffic>,
    node: &NodeId,
    address: SocketAddr,
    call: &ForwardedCall,
) -> Result<Response<Bytes>, CallFailure> {
    let clock = traffic.clock;
    let pool = traffic.endpoint_pool(address);
    let until = clock.timer(call.deadline);
    let (response, exchange) = pool
        .send(|| call.to_endpoint(clock.now()), until)
        .await
        .map_err(|error| CallFailure::of_exchange(&error, RefusalReason::ConnectFailed))?;
    let mut response = whole_answer::read(response, exchange, &pool, until)
        .await
        .map_err(|_| CallFailure::may_have_run(RefusalReason::BrokenExchange))?;
    if let Some(load) = take::<ReportedLoad>(response.headers_mut(), &LOAD) {
        traffic.learn_load(node, &call.route, load);
    }
    if response.headers().contains_key(FAILURE) {
        let bad = CallFailure::may_have_run(RefusalReason::BadAnswer);
        return Err(take(response.headers_mut(), &FAILURE).unwrap_or(bad));
    }
    Ok(response)
}

fn take<T: FromStr>(headers: &mut HeaderMap, name: &HeaderName) -> Option<T> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}
