//! Decides whose call a caller's request is.

use std::sync::Arc;

use crate::fleet::{CredentialDigest, MeshConfig, MeshRoute, Team};

/// The credential in the head of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SentCredential {
    /// The request has no credential.
    Missing,
    /// The request has something in the place of a credential that can't be one, or several.
    Malformed,
    /// The request has a credential with this digest.
    Sent(CredentialDigest),
}

/// Whose call a caller's request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The configuration has no teams, so that a credential has no meaning to the nodes.
    WithoutTeams,
    /// The call belongs to no team: its route is public. Backend servers make such calls on behalf
    /// of a call that they run.
    Public,
    /// The call belongs to the team.
    Team(Arc<Team>),
    /// The request is refused: its credential is unknown, or is missing on a route that is not
    /// public.
    Unknown,
}

impl CallerIdentity {
    /// Decides whose call a request of `route` with the credential `sent` is. An unknown credential
    /// is refused on public routes as well.
    pub fn of(config: &MeshConfig, route: &MeshRoute, sent: SentCredential) -> Self {
        if config.teams.is_empty() {
            return Self::WithoutTeams;
        }
        match sent {
            SentCredential::Missing if route.is_public => Self::Public,
            SentCredential::Missing | SentCredential::Malformed => Self::Unknown,
            SentCredential::Sent(digest) => {
                let holder = config.teams.holder(&digest);
                holder.map_or(Self::Unknown, |team| Self::Team(Arc::clone(team)))
            }
        }
    }

    /// Returns the team that the call belongs to.
    pub const fn team(&self) -> Option<&Arc<Team>> {
        match self {
            Self::Team(team) => Some(team),
            Self::WithoutTeams | Self::Public | Self::Unknown => None,
        }
    }
}
