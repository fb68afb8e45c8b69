//! The check of operators' tokens.

use almondsail_core::ids::Digest;
use subtle::ConstantTimeEq;

use crate::settings::OperatorToken;

/// The operators who may use a node, each known by the digest of a token.
#[derive(Debug, Clone)]
pub struct OperatorAuth {
    tokens: Vec<OperatorToken>,
}

impl OperatorAuth {
    /// Accepts `tokens`.
    pub const fn new(tokens: Vec<OperatorToken>) -> Self {
        Self { tokens }
    }

    /// The operator whose token is `token`.
    ///
    /// Compares the digest with every one of the list, and in each comparison
    /// all bytes, so that the time does not tell how much of a token is right.
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
