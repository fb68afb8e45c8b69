//! The token of an operator.

use almondsail_core::ids::{Digest, OperatorName, TeamName};

use super::fields::Fields;

/// An operator and the digest of its token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorToken {
    /// The operator.
    pub name: OperatorName,
    /// The team whose services the operator may change; `None` for all.
    pub team: Option<TeamName>,
    /// The SHA-256 digest of the token.
    pub token_sha256: Digest,
}

impl OperatorToken {
    /// Stands for all teams in a settings file.
    const ALL_TEAMS: &'static str = "*";

    pub(super) fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.text("name");
        let team = Self::read_team(fields);
        let token_sha256 = fields.text("token_sha256");
        Some(Self { name: name?, team: team?, token_sha256: token_sha256? })
    }

    fn read_team(fields: &mut Fields<'_>) -> Option<Option<TeamName>> {
        let text: String = fields.text("team")?;
        if text == Self::ALL_TEAMS {
            return Some(None);
        }
        match text.parse() {
            Ok(team) => Some(Some(team)),
            Err(e) => {
                fields.note("team", format_args!("{e}, or \"*\" for all teams"));
                None
            }
        }
    }
}
