//! The speed of a host relative to a reference host.

use std::fmt;
use std::str::FromStr;

use crate::units::{Micros, ParseUnitError};

/// The speed of a host relative to a reference host, written `0.500x`.
///
/// A node reads it from its settings, or measures it while the old version runs on its host.
/// Latencies are scaled by it before they are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostSpeed(
    /// The speed in thousandths of the reference speed; more than zero.
    u32,
);

impl HostSpeed {
    /// The speed of the reference host, which is also used for hosts of unknown speed.
    pub const REFERENCE: Self = Self(1_000);

    /// Creates a speed of `thousandths` of the reference speed; `None` for zero.
    pub const fn new(thousandths: u32) -> Option<Self> {
        if thousandths == 0 { None } else { Some(Self(thousandths)) }
    }

    /// Returns the speed in thousandths of the reference speed.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Converts a time `measured` on this host to the time expected on the reference host.
    pub const fn scale(self, measured: Micros) -> Micros {
        Micros::new(measured.get().saturating_mul(self.0 as u64) / Self::REFERENCE.0 as u64)
    }
}

impl Default for HostSpeed {
    fn default() -> Self {
        Self::REFERENCE
    }
}

impl fmt::Display for HostSpeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}x", self.0 / 1_000, self.0 % 1_000)
    }
}

impl FromStr for HostSpeed {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (whole, part) = s.strip_suffix('x')?.split_once('.')?;
            let has_digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
            if part.len() != 3 || !has_digits(whole) || !has_digits(part) {
                return None;
            }
            let whole: u32 = whole.parse().ok()?;
            Self::new(whole.checked_mul(1_000)?.checked_add(part.parse().ok()?)?)
        };
        parse().ok_or_else(|| ParseUnitError::new(s, "a speed above zero such as 0.500x"))
    }
}
