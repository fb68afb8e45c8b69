//! Limits on the calls of a team.

use crate::units::CallRate;

/// Limits the calls of a team on all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// The calls that the team may make in the long run; above zero.
    pub rate: CallRate,
    /// The calls that the team may make beyond the rate after a time without calls.
    pub burst: u32,
}
