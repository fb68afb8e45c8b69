//! The header with which an entry node forwards a call to the node of an endpoint.

use std::fmt;
use std::str::FromStr;

use almondsail_core::ids::{BackendId, RouteName, ServiceName, TeamName};
use almondsail_core::units::Millis;
use http::header::HeaderName;

/// Header that marks a forwarded call; its value is a [`Hop`].
pub(crate) const HOP_HEADER: HeaderName = HeaderName::from_static("almondsail-hop");

/// Call data that an endpoint's node needs in addition to the caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Hop {
    /// Service to which the call is sent.
    pub(crate) service: ServiceName,
    /// Backend server that must run the call.
    pub(crate) backend: BackendId,
    /// Name of the route that matched the call.
    pub(crate) route: RouteName,
    /// Priority of the route, which orders the slot queue.
    pub(crate) priority: u8,
    /// Time left until the caller's deadline.
    pub(crate) deadline_left: Millis,
    /// Time left for an answer that meets the route's target latency.
    pub(crate) target_left: Millis,
    /// Target latency of the route.
    pub(crate) target_latency: Millis,
    /// Service that made the call: that of the backend server beside the entry node.
    pub(crate) caller: ServiceName,
    /// Team that the call belongs to, with its priority. Left out for a call without a team, so
    /// that nodes of earlier builds can read it.
    pub(crate) team: Option<(TeamName, u8)>,
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
        )?;
        self.team.as_ref().map_or(Ok(()), |(team, priority)| write!(f, " {team} {priority}"))
    }
}

/// Error for a malformed [`HOP_HEADER`].
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
        let mut hop = Self {
            service: next(parts)?,
            backend: next(parts)?,
            route: next(parts)?,
            priority: next(parts)?,
            deadline_left: Millis::new(next(parts)?),
            target_left: Millis::new(next(parts)?),
            target_latency: Millis::new(next(parts)?),
            caller: next(parts)?,
            team: None,
        };
        if let Some(team) = parts.next() {
            hop.team = Some((team.parse().map_err(|_| ParseHopError)?, next(parts)?));
        }
        if parts.next().is_some() { Err(ParseHopError) } else { Ok(hop) }
    }
}
