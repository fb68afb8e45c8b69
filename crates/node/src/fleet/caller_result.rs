//! The result of a caller's request.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{EndpointChoice, MeshRoute};
use almondsail_core::ids::{ConfigVersion, ServiceName};
use almondsail_core::units::Micros;
use bytes::Bytes;
use http::Response;

use crate::fleet::call_failure::CallFailure;

/// Retry delay that a caller is told when the node has no configuration or no endpoint.
pub(crate) const NO_ENDPOINT_RETRY_AFTER: Micros = Micros::new(300_000);

/// Result of a caller's request, with what the log and the metrics record of it.
#[derive(Debug)]
pub(crate) struct CallerResult {
    /// Answer of a backend server, or why there is none.
    pub(crate) answer: Result<Response<Bytes>, CallFailure>,
    /// Route that matched the request; `None` if there is no configuration or no matching route.
    pub(crate) route: Option<Arc<MeshRoute>>,
    /// Service to which the route sent the request; `None` without a matching route.
    pub(crate) service: Option<ServiceName>,
    /// Endpoints to which the request was sent, in order.
    pub(crate) endpoints_tried: Vec<EndpointChoice>,
    /// Version of the configuration that routed the request.
    pub(crate) config: ConfigVersion,
}

impl CallerResult {
    /// Creates the result of a request that no configuration has routed yet.
    pub(crate) fn new() -> Self {
        Self {
            answer: Err(CallFailure::refused(RefusalReason::NoConfig, NO_ENDPOINT_RETRY_AFTER)),
            route: None,
            service: None,
            endpoints_tried: Vec::new(),
            config: ConfigVersion::default(),
        }
    }

    /// Records that a graceful stop ended the request before it had an answer.
    pub(crate) fn abort(&mut self) {
        self.answer = Err(match self.endpoints_tried.is_empty() {
            true => CallFailure::refused(RefusalReason::Leaving, NO_ENDPOINT_RETRY_AFTER),
            false => CallFailure::may_have_run(RefusalReason::Leaving),
        });
    }
}
