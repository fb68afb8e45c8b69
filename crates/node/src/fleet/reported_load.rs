//! The load that a node reports in the header of an answer.

use std::fmt;
use std::str::FromStr;

use almondsail_core::fleet::ServerLoad;
use almondsail_core::units::{Micros, Percent};
use http::header::HeaderName;

/// Header in which a node reports its load to the node that forwarded a call.
pub(crate) const LOAD_HEADER: HeaderName = HeaderName::from_static("almondsail-door-load");

/// Load of a node's backend server, as reported with the answer to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReportedLoad {
    /// Number of calls that run, or that are queued ahead of a new call of the same route.
    pub(crate) calls_ahead: u32,
    /// Mean run time of a call at the backend server; `None` until a call has completed.
    pub(crate) mean_time: Option<Micros>,
    /// How long the answered call ran; `None` if it did not run to its end.
    pub(crate) run_time: Option<Micros>,
    /// How long the node held the call, from its arrival to its answer; `None` from earlier builds.
    pub(crate) held: Option<Micros>,
    /// Current service time of the backend server relative to its usual one; `None` if the server
    /// does not report it. Left out then, and ignored by earlier builds.
    pub(crate) service_time: Option<Percent>,
}

impl fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = |span: Option<Micros>| span.map_or(0, Micros::get);
        let Self { calls_ahead, mean_time, run_time, held, service_time } = self;
        write!(f, "{calls_ahead} {} {} {}", number(*mean_time), number(*run_time), number(*held))?;
        service_time.map_or(Ok(()), |service_time| write!(f, " {}", service_time.get()))
    }
}

impl FromStr for ReportedLoad {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut parts = s.split(' ');
        let mut next = || parts.next().unwrap_or_default();
        let calls_ahead = next().parse()?;
        let span = |text: &str| text.parse().map(|n: u64| (n > 0).then(|| Micros::new(n)));
        let (mean_time, run_time, held) = (span(next())?, span(next())?, next());
        let held = if held.is_empty() { None } else { span(held)? };
        // A later build may send more figures, or other ones, after the first four.
        let service_time =
            next().parse().ok().map(Percent::new).filter(ServerLoad::is_plausible_service_time);
        Ok(Self { calls_ahead, mean_time, run_time, held, service_time })
    }
}
