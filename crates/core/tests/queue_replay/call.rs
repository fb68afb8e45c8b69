//! A call in a replay.

use almondsail_core::fleet::{CallRank, CallRequirements};
use almondsail_core::units::{Instant, Millis};

use super::kind::Kind;

/// A call in a replay, with times in milliseconds.
#[derive(Debug, Clone)]
pub struct Call {
    pub kind: usize,
    pub team: Option<usize>,
    pub arrived_at: u64,
    /// The run time of the call.
    pub work: u64,
    pub requirements: CallRequirements,
}

impl Call {
    pub fn new(now: u64, index: usize, kind: &Kind, team: Option<(usize, u8)>, work: u64) -> Self {
        let requirements = CallRequirements {
            route: kind.name.parse().expect("a valid name"),
            rank: CallRank { team: team.map_or(0, |(_, priority)| priority), route: kind.priority },
            team: team.map(|(team, _)| format!("team-{team}").parse().expect("a valid name")),
            target: at(now + kind.target),
            deadline: at(now + kind.deadline),
            target_latency: Millis::new(kind.target),
        };
        Self {
            kind: index,
            team: team.map(|(team, _)| team),
            arrived_at: now,
            work: work.max(1),
            requirements,
        }
    }
}

/// Returns the instant `ms` milliseconds after the start.
pub const fn at(ms: u64) -> Instant {
    Instant::new(ms * 1_000)
}
