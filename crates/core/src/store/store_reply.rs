//! Replies of the store.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::config::Config;
use crate::ids::ParseIdError;
use crate::report::HourValue;
use crate::store::StoreError;

/// The revision of a value in the store; zero while there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(u64);

impl Revision {
    /// The revision with the number `n`.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// The number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_| ParseIdError::new("revision", s, "a whole number"))
    }
}

/// The value of the configuration's key.
#[derive(Debug, Clone)]
pub struct StoredConfig {
    /// The value's revision.
    pub revision: Revision,
    /// The configuration; `None` while nothing was ever written.
    pub config: Option<Arc<Config>>,
}

/// The value of a data centre and hour.
#[derive(Debug, Clone)]
pub struct StoredHour {
    /// The value's revision.
    pub revision: Revision,
    /// The sums; `None` while nothing was ever written.
    pub value: Option<HourValue>,
}

/// The reply to a request to the store.
#[derive(Debug, Clone)]
pub enum StoreReply {
    /// The value, for a read or a watch.
    Value(StoredConfig),
    /// The sums of an hour, for a read of them.
    Hour(StoredHour),
    /// The watch ended without a change.
    Unchanged,
    /// The compare-and-swap took effect.
    Written(Revision),
    /// The request failed.
    Failed(StoreError),
}
