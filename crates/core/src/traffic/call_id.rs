//! The id that all attempts of a call share.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// The id that the entry node gives to a call. All attempts of the call share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u128);

impl CallId {
    /// Creates the id with the number `n`, which must be random to be unique among all nodes.
    pub const fn new(n: u128) -> Self {
        Self(n)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for CallId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let is_hex = s.len() == 32 && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let parsed = if is_hex { u128::from_str_radix(s, 16).ok() } else { None };
        parsed
            .map(Self)
            .ok_or_else(|| ParseIdError::new("call id", s, "32 lower-case hexadecimal digits"))
    }
}
