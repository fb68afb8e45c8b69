//! Rates of calls with fractions of a call per second.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;

/// A rate in thousandths of a call per second, written `6.4/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRate(u64);

impl CallRate {
    /// Creates a rate of `n` thousandths of a call per second.
    pub const fn from_milli(n: u64) -> Self {
        Self(n)
    }

    /// Returns the rate in thousandths of a call per second.
    pub const fn milli(self) -> u64 {
        self.0
    }

    /// Returns the rate in calls per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, rest) = (self.0 / 1_000, self.0 % 1_000);
        if rest == 0 {
            return write!(f, "{whole}/s");
        }
        let digits = format!("{rest:03}");
        write!(f, "{whole}.{}/s", digits.trim_end_matches('0'))
    }
}

impl FromStr for CallRate {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_milli(s).map(Self).ok_or_else(|| ParseUnitError::new(s, "a rate such as 6.4/s"))
    }
}

/// Parses a rate with at most three decimal places.
fn parse_milli(s: &str) -> Option<u64> {
    let number = s.strip_suffix("/s")?;
    let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
    let is_fraction = (1..=3).contains(&fraction.len());
    if !is_fraction || !fraction.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let milli: u64 = format!("{fraction:0<3}").parse().ok()?;
    whole.parse::<u64>().ok()?.checked_mul(1_000)?.checked_add(milli)
}
