//! Statistics of the time until changes were in force.

use crate::units::Millis;

/// Statistics of the time from a change's acceptance until it was in force on every node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InForceTimes {
    /// The number of changes whose time is known.
    pub known: u64,
    /// The number of changes whose time is unknown, since the report of a node is missing.
    pub missing: u64,
    /// The lower median of the known times; `None` if no time is known.
    pub median: Option<Millis>,
    /// The longest known time; `None` if no time is known.
    pub longest: Option<Millis>,
}

impl InForceTimes {
    /// Computes the statistics of `times`, with one item per change; `None` is an unknown time.
    pub fn of(times: impl Iterator<Item = Option<Millis>>) -> Self {
        let (mut known, mut missing) = (Vec::new(), 0);
        for time in times {
            match time {
                Some(time) => known.push(time),
                None => missing += 1,
            }
        }
        known.sort_unstable();
        Self {
            known: known.len() as u64,
            missing,
            median: known.get(known.len().saturating_sub(1) / 2).copied(),
            longest: known.last().copied(),
        }
    }
}
