//! Chooses the routes whose evidence a heartbeat carries.

use std::collections::BTreeMap;

use crate::fleet::{RolloutEvidence, RouteKey};
use crate::units::Instant;

/// Chooses the routes whose evidence a heartbeat carries, so that its size has a bound.
///
/// Half of the places go to the routes whose counts changed last, which the judges lack, and the
/// others to all routes by turns, for nodes that lost an earlier heartbeat or have just started.
#[derive(Debug, Default)]
pub(super) struct EvidenceParts {
    /// When the counts of each route changed last.
    changed_at: BTreeMap<RouteKey, Instant>,
}

impl EvidenceParts {
    /// The largest number of routes in a heartbeat.
    pub(super) const MAX_ROUTES: usize = 64;
    /// The number of places for routes whose counts changed last.
    const LATEST: usize = Self::MAX_ROUTES / 2;

    /// Records that the counts of `route` changed.
    pub(super) fn record_change(&mut self, now: Instant, route: RouteKey) {
        let is_counted = self.changed_at.contains_key(&route)
            || self.changed_at.len() < RolloutEvidence::MAX_ROUTES;
        if is_counted {
            self.changed_at.insert(route, now);
        }
    }

    /// Returns the routes of the heartbeat `turn`.
    pub(super) fn routes(&self, turn: u64) -> Vec<RouteKey> {
        if self.changed_at.len() <= Self::MAX_ROUTES {
            return self.changed_at.keys().copied().collect();
        }
        let mut latest: Vec<(Instant, RouteKey)> =
            self.changed_at.iter().map(|(route, at)| (*at, *route)).collect();
        latest.select_nth_unstable_by(Self::LATEST, |a, b| b.cmp(a));
        let latest = latest[..Self::LATEST].iter().map(|(_, route)| *route);
        let others = Self::MAX_ROUTES - Self::LATEST;
        let parts = self.changed_at.len().div_ceil(others) as u64;
        let part = usize::try_from(turn % parts).unwrap_or_default();
        let by_turns = self.changed_at.keys().skip(part * others).take(others).copied();
        latest.chain(by_turns).collect()
    }
}
