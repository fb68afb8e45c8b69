//! The token of an operator.

use almondsail_core::ids::{Digest, MemberName, OperatorName};

use super::fields::Fields;

/// An operator and the digest of its token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorToken {
    /// The operator.
    pub name: OperatorName,
    /// The member whose services the operator may change; `None` for all.
    pub member: Option<MemberName>,
    /// The SHA-256 digest of the token.
    pub token_sha256: Digest,
}

impl OperatorToken {
    /// Stands for all members in a settings file.
    const ALL_MEMBERS: &'static str = "*";

    pub(super) fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.text("name");
        let member = Self::read_member(fields);
        let token_sha256 = fields.text("token_sha256");
        Some(Self { name: name?, member: member?, token_sha256: token_sha256? })
    }

    fn read_member(fields: &mut Fields<'_>) -> Option<Option<MemberName>> {
        let text: String = fields.text("member")?;
        if text == Self::ALL_MEMBERS {
            return Some(None);
        }
        match text.parse() {
            Ok(member) => Some(Some(member)),
            Err(e) => {
                fields.note("member", format_args!("{e}, or \"*\" for all members"));
                None
            }
        }
    }
}
