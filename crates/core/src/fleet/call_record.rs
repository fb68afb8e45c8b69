//! The log record of a caller's request.

use std::sync::Arc;

use crate::fleet::{CallOutcome, EndpointChoice};
use crate::ids::{ConfigVersion, RouteName, ServiceName};
use crate::units::Micros;

/// A caller's request, as logged with what decided where it went.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The id of the attempt; `None` if the request carries none.
    pub id: Option<Arc<str>>,
    /// The route that matches the request; `None` if none does.
    pub route: Option<RouteName>,
    /// The service that the request was sent to; `None` if no route matches.
    pub service: Option<ServiceName>,
    /// The version of the configuration by which the request was routed.
    pub config: ConfigVersion,
    /// The retries of calls of the service that were left in this node's share of the retry budget
    /// when the request ended.
    pub budget_left: u32,
    /// The endpoints that were tried, in order.
    pub endpoints_tried: Vec<EndpointChoice>,
    /// The time from the request to its end.
    pub took: Micros,
    /// How the request ended.
    pub outcome: CallOutcome,
}
