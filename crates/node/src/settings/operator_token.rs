//! An operator in the settings file.

use almondsail_core::ids::{Digest, OperatorName, TeamName};

use super::fields::Fields;

/// An operator who may use the node, with the digest of the operator's token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorToken {
    /// Name recorded in the history of the operator's changes.
    pub name: OperatorName,
    /// Team whose services the operator may change and whose report it may read; `None` for all.
    pub team: Option<TeamName>,
    /// SHA-256 digest of the bearer token; the settings never hold the token itself.
    pub token_sha256: Digest,
}

impl OperatorToken {
    /// Value of `team` in a settings file that allows all teams.
    const ALL_TEAMS: &'static str = "*";

    pub(super) fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.string("name");
        let team = Self::read_team(fields);
        let token_sha256 = fields.string("token_sha256");
        Some(Self { name: name?, team: team?, token_sha256: token_sha256? })
    }

    fn read_team(fields: &mut Fields<'_>) -> Option<Option<TeamName>> {
        let text: String = fields.string("team")?;
        if text == Self::ALL_TEAMS {
            return Some(None);
        }
        match text.parse() {
            Ok(team) => Some(Some(team)),
            Err(e) => {
                fields.add_error("team", format_args!("{e}, or \"*\" for all teams"));
                None
            }
        }
    }
}
