//! The endpoint that was chosen for a call.

use crate::fleet::Endpoint;
use crate::units::Micros;

/// The endpoint that was chosen for a call, and its estimated load.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChoice {
    /// The endpoint that the load balancer chose.
    pub endpoint: Endpoint,
    /// The estimated number of calls that run or wait at the endpoint.
    pub calls_ahead: u32,
    /// The age of the endpoint's last load report; `None` if there was none.
    pub load_age: Option<Micros>,
    /// The expected time until the answer.
    pub expected: Micros,
    /// The time that was left until the deadline of the call.
    pub deadline_left: Micros,
    /// Whether the endpoint's version is the new one of a rollout, whose calls are judged.
    pub is_judged: bool,
}
