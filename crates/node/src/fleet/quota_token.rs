//! The token of a call.

use std::sync::Arc;

use almondsail_core::ids::TeamName;
use almondsail_core::units::Instant;

use crate::fleet::quota_link::QuotaLink;

/// The token that a call of a team with a quota has taken.
#[derive(Debug)]
pub(crate) struct QuotaToken {
    link: Arc<QuotaLink>,
    team: TeamName,
    /// When the token expires; `None` for a token of the local share, which is not given back.
    expires: Option<Instant>,
}

impl QuotaToken {
    pub(crate) fn new(link: &Arc<QuotaLink>, team: &TeamName, expires: Option<Instant>) -> Self {
        Self { link: Arc::clone(link), team: team.clone(), expires }
    }

    /// Gives the token back, because the call did not arrive at a backend server.
    pub(crate) fn give_back(self) {
        if let Some(expires) = self.expires {
            self.link.give_back(&self.team, expires);
        }
    }
}
