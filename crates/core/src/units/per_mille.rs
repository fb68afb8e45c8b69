//! Shares in thousandths, from zero to the whole.

use std::fmt;
use std::str::FromStr;

use super::ParseUnitError;

/// A share in thousandths, written as a percentage such as `2.5%`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PerMille(
    /// The number of thousandths, at most 1,000.
    u16,
);

impl PerMille {
    /// The share of 0%.
    pub const ZERO: Self = Self(0);
    /// The share of 100%.
    pub const MAX: Self = Self(1_000);

    /// Creates a share of `n` thousandths, or returns `None` if `n` exceeds 1,000.
    pub const fn new(n: u16) -> Option<Self> {
        if n <= Self::MAX.0 { Some(Self(n)) } else { None }
    }

    /// Returns the number of thousandths.
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for PerMille {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}%", self.0 / 10, self.0 % 10)
    }
}

impl FromStr for PerMille {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse(s).ok_or_else(|| ParseUnitError::new(s, "a share from 0% to 100% such as 2.5%"))
    }
}

fn parse(s: &str) -> Option<PerMille> {
    let number = s.strip_suffix('%')?;
    let (whole, tenth) = number.split_once('.').unwrap_or((number, "0"));
    let is_digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
    if !is_digits(whole) || !is_digits(tenth) || tenth.len() != 1 {
        return None;
    }
    let whole: u16 = whole.parse().ok()?;
    PerMille::new(whole.checked_mul(10)?.checked_add(tenth.parse().ok()?)?)
}
