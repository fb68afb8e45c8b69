//! What the log tells of a caller's request.

use std::sync::Arc;

use crate::fleet::{CallOutcome, EndpointChoice};
use crate::ids::{ConfigVersion, RouteName, ServiceName};
use crate::units::Micros;

/// A caller's request and what decided where it went.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The attempt's id.
    pub id: Option<Arc<str>>,
    /// The route, if there is one.
    pub route: Option<RouteName>,
    /// The service.
    pub service: Option<ServiceName>,
    /// The configuration by which it was routed.
    pub config: ConfigVersion,
    /// The further arrivals of calls of the service that this node still had in its share of
    /// the retry budget, when the request ended.
    pub budget_left: u32,
    /// The endpoints that were tried, the last one last.
    pub tries: Vec<EndpointChoice>,
    /// How long it took.
    pub took: Micros,
    /// How it ended.
    pub outcome: CallOutcome,
}
