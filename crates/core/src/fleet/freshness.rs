//! How recently a node's knowledge of the operator's keys was confirmed.

use std::ops::RangeInclusive;

use rand::Rng;

use crate::fleet::Confirmation;
use crate::store::StorePosition;
use crate::units::{Instant, Micros, Millis};

/// How recently a node's knowledge of the operator's keys was confirmed, by the store itself or by
/// other nodes, and when the node asks the store because it was not.
#[derive(Debug, Default)]
pub(super) struct Freshness {
    /// The last confirmation; `None` before the first one.
    confirmed: Option<Confirmed>,
    /// When the node that should bring confirmations said that it brings none. Only a later one
    /// counts.
    doubted_at: Option<Instant>,
    /// When to ask the store; `None` while the knowledge is fresh.
    poll_at: Option<Instant>,
    /// The position before a configuration that this node refused, until it has a newer one. Another
    /// build may read it.
    before_refused: Option<StorePosition>,
    /// The position before the first other item that this node could not read.
    before_unreadable: Option<StorePosition>,
}

#[derive(Debug, Clone, Copy)]
struct Confirmed {
    /// When the store gave the answer.
    at: Instant,
    /// The position of the store in the answer.
    position: StorePosition,
}

impl Freshness {
    /// Records that all keys up to `position` are known, by an answer that the store gave at `at`.
    pub(super) fn confirm(&mut self, at: Instant, position: StorePosition) {
        if self.confirmed.is_some_and(|known| known.at >= at) {
            return;
        }
        let known = self.confirmed.map_or(position, |known| known.position);
        self.confirmed = Some(Confirmed { at, position: position.max(known) });
        if self.doubted_at.is_some_and(|doubted| doubted <= at) {
            self.doubted_at = None;
        }
    }

    /// Records at `now` that no confirmation may follow, before the last one is old.
    pub(super) fn doubt(&mut self, now: Instant) {
        self.doubted_at = Some(now);
    }

    /// Returns when the store gave the last confirmation; `None` before the first one.
    pub(super) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed.map(|known| known.at)
    }

    /// Records that a configuration after `position` was refused.
    pub(super) fn record_refused(&mut self, position: StorePosition) {
        self.before_refused.get_or_insert(position);
    }

    /// Records that another item after `position` can't be read.
    pub(super) fn record_unreadable(&mut self, position: StorePosition) {
        self.before_unreadable.get_or_insert(position);
    }

    /// Records that a newer configuration than the refused one is in force.
    pub(super) fn forget_refused(&mut self) {
        self.before_refused = None;
    }

    /// Returns the last confirmation for a heartbeat at `now`. Its position lies before what this node
    /// could not read, so that no other node skips that.
    pub(super) fn confirmation(&self, now: Instant) -> Option<Confirmation> {
        let known = self.confirmed?;
        let age = Millis::new(now.since(known.at).get().div_ceil(1_000));
        let limits = [self.before_refused, self.before_unreadable];
        let position = limits.into_iter().flatten().fold(known.position, StorePosition::min);
        Some(Confirmation { position, age })
    }

    /// Returns whether nothing has confirmed the knowledge within `max_age`, or since it was
    /// doubted. Before the first confirmation there is nothing to ask for.
    pub(super) fn is_stale(&self, now: Instant, max_age: Millis) -> bool {
        self.confirmed.is_some_and(|known| {
            self.doubted_at.is_some() || now.since(known.at) > Micros::from(max_age)
        })
    }

    /// Returns since when the store is to be asked, if it is at `now` and the knowledge is stale. The
    /// first call after it became so draws the time from `delays`.
    pub(super) fn poll_due_since(
        &mut self,
        now: Instant,
        delays: RangeInclusive<Micros>,
        rng: &mut impl Rng,
    ) -> Option<Instant> {
        let poll_at = *self.poll_at.get_or_insert_with(|| {
            let (shortest, longest) = (delays.start().get(), delays.end().get());
            now + Micros::new(rng.random_range(shortest..=longest))
        });
        Some(poll_at).filter(|at| now >= *at)
    }

    /// Records that the store is not asked, because the knowledge is fresh or the store is away.
    pub(super) fn cancel_poll(&mut self) {
        self.poll_at = None;
    }

    /// Delays the next poll by `delay`, because one is sent at `now`.
    pub(super) fn poll_sent(&mut self, now: Instant, delay: Millis) {
        self.poll_at = Some(now + delay);
    }
}
