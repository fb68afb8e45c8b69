//! Authentication of operators by bearer token.

use almondsail_core::ids::Digest;
use subtle::ConstantTimeEq;

use crate::settings::OperatorToken;

/// The operators who may use a node, each identified by the SHA-256 digest of a token.
#[derive(Debug, Clone)]
pub struct OperatorAuth {
    tokens: Vec<OperatorToken>,
}

impl OperatorAuth {
    /// Creates an authenticator that accepts only the operators in `tokens`.
    pub const fn new(tokens: Vec<OperatorToken>) -> Self {
        Self { tokens }
    }

    /// Returns the operator with this token, or `None` if there is none.
    ///
    /// Compares all bytes of the digest with every entry of the list, so that the time taken
    /// does not reveal how much of a token is right.
    pub fn find(&self, token: &str) -> Option<&OperatorToken> {
        let digest = Digest::of(token.as_bytes());
        let is_same = |entry: &OperatorToken| {
            bool::from(entry.token_sha256.as_bytes().ct_eq(digest.as_bytes()))
        };
        self.tokens
            .iter()
            .fold(None, |found, entry| if is_same(entry) { Some(entry) } else { found })
    }
}
