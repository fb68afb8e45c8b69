//! The call counts of both versions in one stratum.

use crate::rollout::BadCalls;

/// The calls of both versions in one stratum, and how many of them failed or were slow.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Comparison {
    /// The number of calls of the new version.
    pub new_calls: f64,
    /// The number of calls of the new version that failed or were slow.
    pub new_bad: f64,
    /// The number of calls of the old version.
    pub old_calls: f64,
    /// The number of calls of the old version that failed or were slow.
    pub old_bad: f64,
}

impl Comparison {
    /// Creates the comparison of the counts of the `new` and the `old` version.
    pub fn of(new: BadCalls, old: BadCalls) -> Self {
        Self {
            new_calls: new.calls as f64,
            new_bad: new.bad as f64,
            old_calls: old.calls as f64,
            old_bad: old.bad as f64,
        }
    }
}
