//! Counts the calls that callers cancel.

use std::sync::Arc;

use super::CounterSet;

/// Counts a call as cancelled if it is dropped before [`Self::disarm`] is called.
pub(crate) struct CancellationGuard<'a> {
    counters: Option<&'a Arc<CounterSet>>,
}

impl<'a> CancellationGuard<'a> {
    pub(crate) const fn new(counters: Option<&'a Arc<CounterSet>>) -> Self {
        Self { counters }
    }

    /// Prevents the count, because the call has a result, which is counted elsewhere.
    pub(crate) fn disarm(mut self) {
        self.counters = None;
    }
}

impl Drop for CancellationGuard<'_> {
    fn drop(&mut self) {
        if let Some(counters) = self.counters {
            counters.count_cancellation();
        }
    }
}
