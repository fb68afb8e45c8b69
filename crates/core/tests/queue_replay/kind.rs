//! A kind of call.

/// A kind of call, with the same rate, run time and limits.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    /// The number of calls per second at the usual load.
    pub rate: f64,
    /// The mean run time of most calls, in milliseconds.
    pub work: f64,
    /// The part of the calls that run for seven times as long.
    pub tail: f64,
    pub target: u64,
    pub deadline: u64,
    pub priority: u8,
    /// Whether running calls make the calls, which then have no team.
    pub is_made: bool,
    /// Whether no kind of the site is less urgent.
    pub is_least_urgent: bool,
}

impl Kind {
    /// How many times as long the calls in the tail run.
    pub const TAIL_FACTOR: f64 = 7.0;
}
