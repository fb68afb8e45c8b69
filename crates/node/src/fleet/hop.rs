//! The header by which an entry node hands a call to an endpoint.

use std::fmt;
use std::str::FromStr;

use almondsail_core::ids::{BackendId, RouteName, ServiceName};
use almondsail_core::units::Millis;
use http::header::HeaderName;

/// The name of the header.
pub(crate) const HOP_HEADER: HeaderName = HeaderName::from_static("almondsail-hop");

/// What an endpoint must know of a call beside the request itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Hop {
    /// The service that the call is for.
    pub(crate) service: ServiceName,
    /// The backend server that the call is for.
    pub(crate) backend: BackendId,
    /// The route.
    pub(crate) route: RouteName,
    /// The route's rank.
    pub(crate) priority: u8,
    /// The time left until the deadline.
    pub(crate) deadline_left: Millis,
    /// The time left in which an answer has its full worth.
    pub(crate) target_left: Millis,
    /// The route's target latency.
    pub(crate) target_latency: Millis,
    /// The service beside whose backend server the call began.
    pub(crate) caller: ServiceName,
}

impl fmt::Display for Hop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {} {} {} {} {}",
            self.service,
            self.backend,
            self.route,
            self.priority,
            self.deadline_left.get(),
            self.target_left.get(),
            self.target_latency.get(),
            self.caller
        )
    }
}

/// The header is missing or malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ParseHopError;

impl FromStr for Hop {
    type Err = ParseHopError;

    fn from_str(s: &str) -> Result<Self, ParseHopError> {
        fn next<'a, T: FromStr>(
            parts: &mut impl Iterator<Item = &'a str>,
        ) -> Result<T, ParseHopError> {
            parts.next().and_then(|part| part.parse().ok()).ok_or(ParseHopError)
        }
        let mut parts = s.split(' ');
        let parts = &mut parts;
        let hop = Self {
            service: next(parts)?,
            backend: next(parts)?,
            route: next(parts)?,
            priority: next(parts)?,
            deadline_left: Millis::new(next(parts)?),
            target_left: Millis::new(next(parts)?),
            target_latency: Millis::new(next(parts)?),
            caller: next(parts)?,
        };
        if parts.next().is_some() { Err(ParseHopError) } else { Ok(hop) }
    }
}
