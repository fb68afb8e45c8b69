//! Times until changes were in force.

use crate::units::Millis;

/// Times until changes were in force on every node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InForceTimes {
    /// The changes whose time is known.
    pub known: u64,
    /// The changes whose time is not known.
    pub missing: u64,
    /// The lower median of the known times; `None` without one.
    pub median: Option<Millis>,
    /// The longest known time; `None` without one.
    pub longest: Option<Millis>,
}

impl InForceTimes {
    /// The figures for `times`, each `None` if it is not known.
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
