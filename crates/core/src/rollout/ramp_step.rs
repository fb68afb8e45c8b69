//! The steps of a rollout.

use crate::units::PerMille;

/// The shares of calls that the new version takes after a step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RampStep {
    /// The new version's share of idempotent calls.
    pub share: PerMille,
    /// The new version's share of non-idempotent calls; at most `share`.
    pub non_idempotent_share: PerMille,
}

impl RampStep {
    /// All steps in order. From the 5% step on, non-idempotent calls lag one share behind.
    pub const ALL: [Self; 8] = [
        Self::new(10, 0),
        Self::new(20, 0),
        Self::new(50, 20),
        Self::new(100, 50),
        Self::new(250, 100),
        Self::new(500, 250),
        Self::new(1_000, 500),
        Self::new(1_000, 1_000),
    ];

    /// Creates a step from shares in thousandths, each at most 1,000.
    const fn new(share: u16, non_idempotent_share: u16) -> Self {
        match (PerMille::new(share), PerMille::new(non_idempotent_share)) {
            (Some(share), Some(non_idempotent_share)) => Self { share, non_idempotent_share },
            _ => panic!("a share is at most the whole"),
        }
    }

    /// Returns the new version's share of the calls of idempotent or non-idempotent routes.
    pub const fn share_of(self, is_idempotent: bool) -> PerMille {
        if is_idempotent { self.share } else { self.non_idempotent_share }
    }
}
