//! Whether the store answers a node.

use crate::fleet::StoreFailure;
use crate::units::Instant;

/// Whether the store answers a node, by the ends of the node's requests.
#[derive(Debug, Default)]
pub(super) struct StoreContact {
    /// Why the last request of the watcher of the operator's keys failed; `None` if it didn't.
    watch_failure: Option<StoreFailure>,
    /// Whether the last request that is answered without a wait, or the leader's short watch, had no
    /// answer in time. A long watch shows this only when the wait for changes is over.
    is_silent: bool,
    /// When a request that is answered without a wait last succeeded; `None` before the first time.
    last_success: Option<Instant>,
}

impl StoreContact {
    /// Returns why the store is not reached; `None` if it is.
    pub(super) const fn failure(&self) -> Option<StoreFailure> {
        if self.is_silent { Some(StoreFailure::Unanswered) } else { self.watch_failure }
    }

    /// Returns when a request that is answered without a wait last succeeded; `None` before the first
    /// time.
    pub(super) const fn last_success(&self) -> Option<Instant> {
        self.last_success
    }

    /// Returns whether the store is reached.
    pub(super) const fn is_reached(&self) -> bool {
        self.failure().is_none()
    }

    /// Records the end of a request of the watcher of the operator's keys.
    pub(super) fn record_watch(&mut self, failure: Option<StoreFailure>) {
        if failure.is_none() {
            self.is_silent = false;
        }
        self.watch_failure = failure.filter(|failure| *failure != StoreFailure::HistoryLost);
    }

    /// Records that a watch with a short waiting time is not answered in time.
    pub(super) const fn record_overdue(&mut self) {
        self.is_silent = true;
    }

    /// Records the end of a request that is answered without a wait. A success shows that a watch
    /// would be answered now, whatever the last one met.
    pub(super) fn record_request(&mut self, now: Instant, failure: Option<StoreFailure>) {
        self.is_silent = failure == Some(StoreFailure::Unanswered);
        if failure.is_none() {
            self.watch_failure = None;
            self.last_success = Some(now);
        }
    }
}
