//! Sends calls to the doors of other nodes.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::ids::NodeId;
use almondsail_core::units::Micros;
use bytes::Bytes;
use http::Response;
use http::header::{HeaderMap, HeaderName};

use crate::fleet::door_call::DoorCall;
use crate::fleet::door_failure::{DoorFailure, FAILURE};
use crate::fleet::traffic::FleetTraffic;
use crate::fleet::whole_answer;

/// The header in which a door reports its load.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("almondsail-door-load");

/// The load that a door reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReportedLoad {
    /// The calls that run, or wait before a call of the same route.
    pub(crate) ahead: u32,
    /// Their mean time, if it is known.
    pub(crate) mean: Option<Micros>,
    /// How long the answered call ran, if it did.
    pub(crate) took: Option<Micros>,
}

impl fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = |span: Option<Micros>| span.map_or(0, Micros::get);
        write!(f, "{} {} {}", self.ahead, number(self.mean), number(self.took))
    }
}

impl FromStr for ReportedLoad {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut parts = s.split(' ');
        let mut next = || parts.next().unwrap_or_default();
        let ahead = next().parse()?;
        let mut span = || next().parse().map(|span: u64| (span > 0).then(|| Micros::new(span)));
        Ok(Self { ahead, mean: span()?, took: span()? })
    }
}

/// Sends `call` to the door of `node` at `address`.
pub(crate) async fn send(
    traffic: &Arc<FleetTraffic>,
    node: &NodeId,
    address: SocketAddr,
    call: &DoorCall,
) -> Result<Response<Bytes>, DoorFailure> {
    let clock = traffic.clock;
    let pool = traffic.door_pool(address);
    let until = clock.timer(call.deadline);
    let (response, exchange) = pool
        .send(|| call.to_door(clock.now()), until)
        .await
        .map_err(|error| DoorFailure::of_exchange(&error, RefusalReason::ConnectFailed))?;
    let mut response = whole_answer::read(response, exchange, &pool, until)
        .await
        .map_err(|_| DoorFailure::may_have_run(RefusalReason::BrokenExchange))?;
    if let Some(load) = take::<ReportedLoad>(response.headers_mut(), &LOAD) {
        let mut placement = traffic.placement();
        let door = placement.load(node);
        door.report(clock.now(), &call.route, load.ahead, load.mean);
        if let Some(took) = load.took {
            door.ran(&call.route, took);
        }
    }
    if response.headers().contains_key(FAILURE) {
        let bad = DoorFailure::may_have_run(RefusalReason::BadAnswer);
        return Err(take(response.headers_mut(), &FAILURE).unwrap_or(bad));
    }
    Ok(response)
}

fn take<T: FromStr>(headers: &mut HeaderMap, name: &HeaderName) -> Option<T> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}
