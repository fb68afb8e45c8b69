//! The run time of calls by path prefix.

use std::str::FromStr;
use std::time::Duration;

use almondsail_core::units::Millis;
use eyre::{Report, Result, eyre};

/// The run time of calls whose path begins with a prefix, written `/bays=5ms`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTime {
    prefix: String,
    time: Millis,
}

impl ServiceTime {
    /// Returns the run time for the longest prefix of `path`, or `None` if no prefix matches.
    pub fn of(times: &[Self], path: &str) -> Option<Duration> {
        times
            .iter()
            .filter(|entry| path.starts_with(&entry.prefix))
            .max_by_key(|entry| entry.prefix.len())
            .map(|entry| Duration::from_millis(entry.time.get()))
    }
}

impl FromStr for ServiceTime {
    type Err = Report;

    fn from_str(s: &str) -> Result<Self> {
        let (prefix, time) =
            s.split_once('=').ok_or_else(|| eyre!("expected PREFIX=TIME such as /bays=5ms"))?;
        Ok(Self { prefix: prefix.to_owned(), time: time.parse()? })
    }
}
