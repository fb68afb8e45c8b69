//! A call that is forwarded to a backend server.

use almondsail_core::fleet::{CallRank, CallRequirements};
use almondsail_core::ids::{BackendId, RouteName, ServiceName, TeamName};
use almondsail_core::units::{Instant, Micros, Millis};
use almondsail_platform::calls as platform_calls;
use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::{Method, Request, Uri};
use http_body_util::Full;

use crate::fleet::hop::{HOP_HEADER, Hop};

/// A call that is forwarded to a backend server, either directly or through another node.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedCall {
    /// Service to which the call is sent.
    pub(crate) service: ServiceName,
    /// Backend server that must run the call; other servers' nodes refuse it.
    pub(crate) backend: BackendId,
    /// Name of the route that matched the call.
    pub(crate) route: RouteName,
    /// Rank of the call, which orders the slot queue.
    pub(crate) rank: CallRank,
    /// Team that the call belongs to; `None` without one.
    pub(crate) team: Option<TeamName>,
    /// Time after which the caller has no use for an answer.
    pub(crate) deadline: Instant,
    /// Time by which an answer must leave the entry node to meet the route's target latency.
    pub(crate) target: Instant,
    /// Time by which an answer delays no pipelined request behind it. Only the entry node knows
    /// it, and uses it to choose the endpoint; elsewhere it equals `target`.
    pub(crate) answer_by: Instant,
    /// Target latency of the route.
    pub(crate) target_latency: Millis,
    /// Service that made the call: that of the backend server beside the entry node.
    pub(crate) caller: ServiceName,
    /// HTTP method of the caller's request.
    pub(crate) method: Method,
    /// Path and query of the caller's request.
    pub(crate) uri: Uri,
    /// Headers of the caller's request without the hop-by-hop ones.
    pub(crate) headers: HeaderMap,
    /// Body of the caller's request, complete in memory.
    pub(crate) body: Bytes,
}

impl ForwardedCall {
    /// Reads a call that an entry node forwarded. Its times left count from `now`.
    pub(crate) fn from_hop(hop: Hop, now: Instant, request: Request<Bytes>) -> Self {
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        headers.remove(HOP_HEADER);
        let (team, team_priority) = hop.team.unzip();
        let rank = CallRank { team: team_priority.unwrap_or_default(), route: hop.priority };
        Self {
            service: hop.service,
            backend: hop.backend,
            route: hop.route,
            rank,
            team,
            deadline: now + hop.deadline_left,
            target: now + hop.target_left,
            answer_by: now + hop.target_left,
            target_latency: hop.target_latency,
            caller: hop.caller,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
        }
    }

    /// Builds the request to another node, with the times left at `now`.
    pub(crate) fn endpoint_request(&self, now: Instant) -> Request<Full<Bytes>> {
        let hop = Hop {
            service: self.service.clone(),
            backend: self.backend.clone(),
            route: self.route.clone(),
            priority: self.rank.route,
            deadline_left: millis(self.deadline.since(now)),
            target_left: millis(self.target.since(now)),
            target_latency: self.target_latency,
            caller: self.caller.clone(),
            team: self.team.clone().map(|team| (team, self.rank.team)),
        };
        let mut request = self.copy_request();
        if let Ok(value) = HeaderValue::try_from(hop.to_string()) {
            request.headers_mut().insert(HOP_HEADER, value);
        }
        request
    }

    /// Builds the request to the backend server, with the time left at `now`.
    pub(crate) fn backend_request(&self, now: Instant) -> Request<Full<Bytes>> {
        let mut request = self.copy_request();
        let remaining = millis(self.deadline.since(now));
        platform_calls::set_backend_headers(
            request.headers_mut(),
            remaining,
            &self.backend,
            &self.caller,
        );
        request
    }

    /// Returns what the slot queue needs to order and limit the wait of the call.
    pub(crate) fn requirements(&self) -> CallRequirements {
        CallRequirements {
            route: self.route.clone(),
            rank: self.rank,
            team: self.team.clone(),
            target: self.target,
            deadline: self.deadline,
            target_latency: self.target_latency,
        }
    }

    /// Returns the id that the caller gave this attempt, if any.
    pub(crate) fn attempt_id(&self) -> Option<&HeaderValue> {
        platform_calls::attempt_id(&self.headers)
    }

    fn copy_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

fn millis(span: Micros) -> Millis {
    Millis::new(span.get() / 1_000)
}
