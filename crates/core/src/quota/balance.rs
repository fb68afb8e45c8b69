//! The tokens that a node holds for a team.

use std::collections::VecDeque;

use super::TokenCount;
use crate::units::Instant;

/// The tokens that a node holds for a team, in the order in which they arrived.
#[derive(Debug, Clone, Default)]
pub(super) struct Balance {
    lots: VecDeque<Lot>,
}

/// Tokens of one grant.
#[derive(Debug, Clone, Copy)]
struct Lot {
    /// Above zero.
    tokens: u32,
    usable_from: Instant,
    /// Later than `usable_from`.
    expires: Instant,
}

impl Balance {
    pub(super) fn add(&mut self, tokens: TokenCount, usable_from: Instant, expires: Instant) {
        if tokens.get() > 0 {
            self.lots.push_back(Lot { tokens: tokens.get(), usable_from, expires });
        }
    }

    /// Takes a token that can be used at `now`. Returns when it expires.
    pub(super) fn take(&mut self, now: Instant) -> Option<Instant> {
        self.drop_expired(now);
        let i = self.lots.iter().position(|lot| lot.usable_from <= now)?;
        let expires = self.lots[i].expires;
        self.lots[i].tokens -= 1;
        if self.lots[i].tokens == 0 {
            self.lots.remove(i);
        }
        Some(expires)
    }

    /// Returns the number of tokens, of those that can be used now or later.
    pub(super) fn len(&mut self, now: Instant) -> u32 {
        self.drop_expired(now);
        self.lots.iter().map(|lot| lot.tokens).sum()
    }

    /// Returns when the next token can be used.
    pub(super) fn next_usable(&self) -> Option<Instant> {
        self.lots.iter().map(|lot| lot.usable_from).min()
    }

    fn drop_expired(&mut self, now: Instant) {
        self.lots.retain(|lot| lot.expires > now);
    }
}
