//! The load that a node reports in the header of an answer.

use std::fmt;
use std::str::FromStr;

use almondsail_core::units::Micros;
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
}

impl fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let number = |span: Option<Micros>| span.map_or(0, Micros::get);
        write!(f, "{} {} {}", self.calls_ahead, number(self.mean_time), number(self.run_time))
    }
}

impl FromStr for ReportedLoad {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut parts = s.split(' ');
        let mut next = || parts.next().unwrap_or_default();
        let calls_ahead = next().parse()?;
        let mut span = || next().parse().map(|span: u64| (span > 0).then(|| Micros::new(span)));
        Ok(Self { calls_ahead, mean_time: span()?, run_time: span()? })
    }
}
