//! Watches a key space of the store.

use std::collections::BTreeMap;

use rand::Rng;

use crate::fleet::{
    ItemChange, KeySpace, StoreFailure, StoreItem, StoreKey, StoreReply, StoreRequest,
};
use crate::store::{Revision, StoreEra, StorePosition};
use crate::units::{Instant, Micros, Millis};

/// Watches a key space of the store: lists it once, then waits for changes.
///
/// At most one request is pending. When the store has lost the history or was restored from a copy,
/// or the changes can't be read, the watcher lists the key space again and reports what was changed
/// or removed in between.
#[derive(Debug)]
pub struct StoreWatcher {
    space: KeySpace,
    state: State,
    /// The era of the store in which the key space was listed or is about to be.
    era: StoreEra,
    /// The positions of the items that were reported.
    known: BTreeMap<StoreKey, StorePosition>,
    /// No request is sent before this instant.
    next_request_at: Instant,
    failures_in_a_row: u32,
    is_listed: bool,
    /// The position at which the key space was last listed; `None` before.
    listed_at: Option<StorePosition>,
    /// Whether the key space was listed since the last restoration of the store, and nothing has
    /// shown that it has changed without a report.
    is_current: bool,
    /// How long a watch waits for changes; `None` to send none. The first listing is made in any
    /// case.
    watch_time: Option<Millis>,
}

#[derive(Debug)]
enum State {
    Listing { after: Option<StoreKey>, as_of: Option<Revision>, listed: Vec<StoreItem> },
    Watching(Revision),
}

/// The changes that a reply to a watcher contains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WatchUpdate {
    /// The changes that were not reported before, in order.
    pub changes: Vec<ItemChange>,
    /// Whether the key space is now known completely.
    pub is_listed: bool,
}

impl StoreWatcher {
    /// The delay after a watch that returned changes, so that changes which follow closely arrive
    /// with one request.
    pub const BATCH_DELAY: Millis = Millis::new(150);
    /// How long the store holds a watch without changes.
    pub const WATCH_TIME: Millis = Millis::new(28_000);
    /// How long the store holds a watch of the leading node. A watch whose answer is lost is found
    /// out within this time and a request's timeout, also if nothing else shows the loss.
    pub const LEADER_WATCH_TIME: Millis = Millis::new(850);
    /// How long the store holds a watch that only asks for the changes until now.
    pub const POLL_TIME: Millis = Millis::new(1);
    /// The longest delay after a failure. Less than the two seconds within which lapsed entries
    /// must be written again.
    const MAX_RETRY_DELAY: Millis = Millis::new(800);
    /// The longest delay after a first failure; doubles with each further one.
    const INITIAL_RETRY_DELAY: Millis = Millis::new(50);

    /// Creates a watcher that begins with a listing of `space`.
    pub const fn new(space: KeySpace) -> Self {
        Self {
            space,
            state: State::Listing { after: None, as_of: None, listed: Vec::new() },
            era: StoreEra::new(0),
            known: BTreeMap::new(),
            next_request_at: Instant::new(0),
            failures_in_a_row: 0,
            is_listed: false,
            listed_at: None,
            is_current: false,
            watch_time: Some(Self::WATCH_TIME),
        }
    }

    /// Returns the next request if it is due at `now`.
    pub fn request(&self, now: Instant) -> Option<StoreRequest> {
        if now < self.next_request_at || (self.is_listed && self.watch_time.is_none()) {
            return None;
        }
        match &self.state {
            State::Listing { after, .. } => Some(StoreRequest::List(self.space, after.clone())),
            State::Watching(revision) => {
                self.watch_time.map(|time| StoreRequest::Watch(self.space, *revision, time))
            }
        }
    }

    /// Sets how long the next watches wait for changes; `None` to send none. A pending watch is not
    /// cancelled.
    pub fn set_watch_time(&mut self, watch_time: Option<Millis>) {
        self.watch_time = watch_time;
    }

    /// Sets the era of the store at its first answer.
    pub const fn begin_era(&mut self, era: StoreEra) {
        self.era = era;
    }

    /// Records that the item `key` at `position` is known from another node, so that a listing
    /// without it is reported as its removal.
    pub fn add_known(&mut self, key: StoreKey, position: StorePosition) {
        let known = self.known.entry(key).or_insert(position);
        *known = position.max(*known);
    }

    /// Returns whether the item `key` at `position` has been removed, because a later listing did
    /// not contain it.
    pub fn is_removed(&self, key: &StoreKey, position: StorePosition) -> bool {
        self.listed_at.is_some_and(|listed| position <= listed) && !self.known.contains_key(key)
    }

    /// Lists the key space again, because the store was restored and is now in `era`.
    pub fn restart(&mut self, now: Instant, era: StoreEra) {
        self.era = era;
        self.is_current = false;
        self.restart_listing();
        self.next_request_at = now;
        self.failures_in_a_row = 0;
    }

    /// Returns the position up to which the key space is known completely; `None` before it is listed
    /// or while it must be listed again.
    pub const fn position(&self) -> Option<StorePosition> {
        match &self.state {
            State::Watching(revision) => Some(StorePosition::new(self.era, *revision)),
            State::Listing { .. } => None,
        }
    }

    /// Lets the next watch begin at `position`, because other nodes have told all changes before it.
    pub fn skip_to(&mut self, position: StorePosition) {
        if let State::Watching(revision) = &mut self.state
            && position.era == self.era
        {
            *revision = (*revision).max(position.revision);
        }
    }

    /// Returns whether the key space was known completely at least once.
    pub const fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Lists the key space again before the next watch, because it has changed without a report.
    pub fn mark_outdated(&mut self) {
        self.is_current = false;
        self.restart_listing();
    }

    /// Returns whether the key space was listed since the last restoration of the store, and
    /// nothing has shown that it has changed without a report.
    pub const fn is_current(&self) -> bool {
        self.is_current
    }

    /// Returns whether the last request failed.
    pub const fn is_failing(&self) -> bool {
        self.failures_in_a_row > 0
    }

    /// Handles the reply to the last request.
    pub fn reply(
        &mut self,
        now: Instant,
        reply: Result<StoreReply, StoreFailure>,
        rng: &mut impl Rng,
    ) -> WatchUpdate {
        match (reply, &mut self.state) {
            (Ok(StoreReply::Items { items, next, as_of }), State::Listing { .. }) => {
                self.failures_in_a_row = 0;
                self.add_page(items, next, as_of)
            }
            (Ok(StoreReply::Changes(changes, as_of)), State::Watching(revision)) => {
                self.failures_in_a_row = 0;
                *revision = (*revision).max(as_of);
                if !changes.is_empty() {
                    self.next_request_at = now + Self::BATCH_DELAY;
                }
                let changes =
                    changes.into_iter().filter(|change| self.record_change(change)).collect();
                WatchUpdate { changes, is_listed: true }
            }
            (Err(StoreFailure::HistoryLost), _) => {
                self.restart_listing();
                self.back_off(now, rng);
                WatchUpdate::default()
            }
            // The same watch would be answered in the same way; a listing shows the current items.
            (Err(StoreFailure::Unreadable), State::Watching(_)) => {
                self.restart_listing();
                self.failures_in_a_row += 1;
                // A listing that succeeds in between resets the delay of failures in a row.
                self.delay_request(now, Self::MAX_RETRY_DELAY, rng);
                WatchUpdate::default()
            }
            _ => {
                self.back_off(now, rng);
                WatchUpdate::default()
            }
        }
    }

    fn add_page(
        &mut self,
        items: Vec<StoreItem>,
        next: Option<StoreKey>,
        first_as_of: Revision,
    ) -> WatchUpdate {
        let State::Listing { after, as_of, listed } = &mut self.state else {
            return WatchUpdate::default();
        };
        listed.extend(items);
        // A watch from the revision of the first page repeats changes made during the listing.
        let as_of = *as_of.get_or_insert(first_as_of);
        if next.is_some() {
            *after = next;
            return WatchUpdate::default();
        }
        let listed = std::mem::take(listed);
        self.state = State::Watching(as_of);
        self.is_listed = true;
        self.listed_at = Some(StorePosition::new(self.era, as_of));
        self.is_current = true;
        WatchUpdate { changes: self.diff(listed, as_of), is_listed: true }
    }

    /// Returns the changes between the known items and `listed`.
    fn diff(&mut self, listed: Vec<StoreItem>, as_of: Revision) -> Vec<ItemChange> {
        let is_listed = |key: &StoreKey| listed.iter().any(|item| item.key == *key);
        let removed: Vec<StoreKey> =
            self.known.keys().filter(|key| !is_listed(key)).cloned().collect();
        let removed = removed.into_iter().map(|key| ItemChange::Removed(key, as_of));
        let put = listed.into_iter().map(ItemChange::Put);
        let changes: Vec<ItemChange> = removed.chain(put).collect();
        changes.into_iter().filter(|change| self.record_change(change)).collect()
    }

    /// Records a change. Returns whether it is new.
    fn record_change(&mut self, change: &ItemChange) -> bool {
        let (key, revision) = match change {
            ItemChange::Put(item) => (&item.key, item.revision),
            ItemChange::Removed(key, revision) => (key, *revision),
        };
        let position = StorePosition::new(self.era, revision);
        if self.known.get(key).is_some_and(|known| *known >= position) {
            return false;
        }
        match change {
            ItemChange::Put(_) => {
                self.known.insert(key.clone(), position);
                true
            }
            // Other nodes may have told of the item, and of the keys up to a later position.
            ItemChange::Removed(StoreKey::Evacuation(_), _) => {
                self.known.remove(key);
                true
            }
            ItemChange::Removed(..) => self.known.remove(key).is_some(),
        }
    }

    fn restart_listing(&mut self) {
        self.state = State::Listing { after: None, as_of: None, listed: Vec::new() };
    }

    /// Delays the next request by a random time, longer after each failure in a row.
    fn back_off(&mut self, now: Instant, rng: &mut impl Rng) {
        if let State::Listing { .. } = self.state {
            self.restart_listing();
        }
        let max_delay = Self::INITIAL_RETRY_DELAY.get() << self.failures_in_a_row.min(5);
        self.failures_in_a_row += 1;
        self.delay_request(now, Millis::new(max_delay).min(Self::MAX_RETRY_DELAY), rng);
    }

    /// Delays the next request by a random time of at most `max_delay`.
    fn delay_request(&mut self, now: Instant, max_delay: Millis, rng: &mut impl Rng) {
        let max_delay = Micros::from(max_delay).get();
        self.next_request_at = now + Micros::new(rng.random_range(max_delay / 4..=max_delay));
    }
}
