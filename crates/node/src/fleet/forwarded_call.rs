//! A call on its way to a backend server.

use almondsail_core::fleet::CallRequirements;
use almondsail_core::ids::{BackendId, RouteName, ServiceName};
use almondsail_core::units::{Instant, Micros, Millis};
use almondsail_platform::calls as platform_calls;
use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::{Method, Request, Uri};
use http_body_util::Full;

use crate::fleet::hop::{HOP_HEADER, Hop};

/// A call on its way to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedCall {
    /// The service that the call is for.
    pub(crate) service: ServiceName,
    /// The backend server that the call is for.
    pub(crate) backend: BackendId,
    /// The route.
    pub(crate) route: RouteName,
    /// The route's rank.
    pub(crate) priority: u8,
    /// After this the caller has no use for an answer.
    pub(crate) deadline: Instant,
    /// Until this an answer has its full worth.
    pub(crate) target: Instant,
    /// Until this an answer makes no other of the caller's connection late. Known to the entry node
    /// only, which chooses the endpoint by it.
    pub(crate) answer_by: Instant,
    /// The route's target latency.
    pub(crate) target_latency: Millis,
    /// The service beside whose backend server the call began.
    pub(crate) caller: ServiceName,
    /// The method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) uri: Uri,
    /// The headers, without those that concern one connection only.
    pub(crate) headers: HeaderMap,
    /// The whole body.
    pub(crate) body: Bytes,
}

impl ForwardedCall {
    /// The call that an entry node handed over, as it stands at `now`.
    pub(crate) fn from_hop(hop: Hop, now: Instant, request: Request<Bytes>) -> Self {
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        headers.remove(HOP_HEADER);
        Self {
            service: hop.service,
            backend: hop.backend,
            route: hop.route,
            priority: hop.priority,
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

    /// The request to the endpoint, as it stands at `now`.
    pub(crate) fn endpoint_request(&self, now: Instant) -> Request<Full<Bytes>> {
        let hop = Hop {
            service: self.service.clone(),
            backend: self.backend.clone(),
            route: self.route.clone(),
            priority: self.priority,
            deadline_left: millis(self.deadline.since(now)),
            target_left: millis(self.target.since(now)),
            target_latency: self.target_latency,
            caller: self.caller.clone(),
        };
        let mut request = self.copy_request();
        if let Ok(value) = HeaderValue::try_from(hop.to_string()) {
            request.headers_mut().insert(HOP_HEADER, value);
        }
        request
    }

    /// The request to the backend server, as it stands at `now`.
    pub(crate) fn backend_request(&self, now: Instant) -> Request<Full<Bytes>> {
        let mut request = self.copy_request();
        let left = millis(self.deadline.since(now));
        platform_calls::set_backend_headers(
            request.headers_mut(),
            left,
            &self.backend,
            &self.caller,
        );
        request
    }

    /// The requirements of the call on the backend server.
    pub(crate) fn requirements(&self) -> CallRequirements {
        CallRequirements {
            route: self.route.clone(),
            priority: self.priority,
            target: self.target,
            deadline: self.deadline,
            target_latency: self.target_latency,
        }
    }

    /// The caller's id of the attempt.
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
