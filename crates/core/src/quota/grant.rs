//! Answers to requests for tokens.

use super::TokenCount;
use crate::ids::{QuotaRequestId, TeamName};
use crate::units::Millis;

/// The answer to a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The number of the request.
    pub id: QuotaRequestId,
    /// The team of the request.
    pub team: TeamName,
    /// The number of granted tokens; zero if the request is denied.
    pub granted: TokenCount,
    /// The lifetime of the tokens, from the sending of the request or from `retry_after` on; at most
    /// [`Self::MAX_LIFETIME`].
    pub expires: Millis,
    /// The time until the tokens may be used or, without tokens, until there is one. Zero without
    /// tokens means that the sender doesn't keep the team's quota.
    pub retry_after: Millis,
}

impl QuotaGrant {
    /// The longest time for which tokens are granted.
    pub const MAX_LIFETIME: Millis = Millis::new(400);
    /// The longest time for which a request is denied.
    pub const MAX_RETRY_AFTER: Millis = Millis::new(3_600_000);

    /// Creates the answer of a node that doesn't keep the quota of the team.
    pub fn not_kept(id: QuotaRequestId, team: TeamName) -> Self {
        Self {
            id,
            team,
            granted: TokenCount::default(),
            expires: Millis::default(),
            retry_after: Millis::default(),
        }
    }

    /// Returns whether the sender keeps the quota of the team.
    pub fn is_kept(&self) -> bool {
        self.granted > TokenCount::default() || self.retry_after > Millis::default()
    }
}
