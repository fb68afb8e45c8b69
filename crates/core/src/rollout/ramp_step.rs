//! The steps of a rollout.

use crate::units::PerMille;

/// The shares of the new version after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RampStep {
    /// The share among idempotent calls.
    pub share: PerMille,
    /// The share among non-idempotent calls; at most `share`.
    pub non_idempotent_share: PerMille,
}

impl RampStep {
    /// Every step in order. From the 5% step on, non-idempotent calls follow one share behind.
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

    /// The shares in thousandths; `share` must be at most the whole.
    const fn new(share: u16, non_idempotent_share: u16) -> Self {
        match (PerMille::new(share), PerMille::new(non_idempotent_share)) {
            (Some(share), Some(non_idempotent_share)) => Self { share, non_idempotent_share },
            _ => panic!("a share is at most the whole"),
        }
    }

    /// The share among the calls of an idempotent, or a non-idempotent, route.
    pub const fn share_of(self, is_idempotent: bool) -> PerMille {
        if is_idempotent { self.share } else { self.non_idempotent_share }
    }
}
