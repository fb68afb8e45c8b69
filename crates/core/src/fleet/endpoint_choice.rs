//! The endpoint that was chosen for a call.

use crate::fleet::Endpoint;
use crate::units::Micros;

/// The endpoint that was chosen for a call, and its estimated load.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChoice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The estimated number of calls that run or wait there.
    pub calls_ahead: u32,
    /// How old the endpoint's last report of its load was; `None` if there was none.
    pub load_age: Option<Micros>,
    /// How long the answer was expected to take.
    pub expected: Micros,
    /// The time that was left until the deadline.
    pub left: Micros,
    /// Whether a rollout judges the endpoint's version.
    pub is_judged: bool,
}
