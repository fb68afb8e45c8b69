//! The load that a node reports for its backend server.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The load of a backend server, written `in flight/slots`, such as `3/12`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of calls that run at the backend server or wait for admission.
    pub in_flight: u32,
    /// The number of calls that the backend server runs at a time.
    pub slots: u16,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.in_flight, self.slots)
    }
}

impl FromStr for LoadReport {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (in_flight, slots) = s.split_once('/')?;
            Some(Self { in_flight: in_flight.parse().ok()?, slots: slots.parse().ok()? })
        };
        parse().ok_or_else(|| ParseIdError::new("load", s, "calls in flight/slots such as 3/12"))
    }
}
