//! Requests for tokens.

use std::net::SocketAddr;

use super::TokenCount;
use crate::ids::{ConfigVersion, QuotaRequestId, TeamName};
use crate::units::Millis;

/// A request of a node for tokens of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaRequest {
    /// The number of the request, which its grant repeats.
    pub id: QuotaRequestId,
    /// The team whose calls need the tokens.
    pub team: TeamName,
    /// The number of tokens; above zero.
    pub wanted: TokenCount,
    /// How long a call may wait for a token that does not exist yet.
    pub max_wait: Millis,
    /// The version of the sender's configuration.
    pub config_version: ConfigVersion,
}

/// A request with the address that it goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The address of the owner of the quota, or of its deputy.
    pub to: SocketAddr,
    /// The request.
    pub request: QuotaRequest,
}
