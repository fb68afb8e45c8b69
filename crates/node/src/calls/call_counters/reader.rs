//! Reads call counters for the control thread.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{CallCounts, CounterKey, CounterRegistry};

/// Reports the calls counted since the last reading to the control thread.
#[derive(Debug)]
pub struct CallCountsReader {
    counters: CounterRegistry,
    /// The totals at the last call of [`Self::read_changes`].
    last: BTreeMap<CounterKey, CallCounts>,
}

impl CallCountsReader {
    pub(crate) fn new(counters: CounterRegistry) -> Self {
        Self { counters, last: BTreeMap::new() }
    }

    /// Returns the number of keys that have counters.
    pub fn counter_set_count(&self) -> usize {
        self.counters.counter_sets().len()
    }

    /// Returns the counts since the last call of this function, for the keys whose counts changed.
    ///
    /// Counters that neither the configuration in force nor any call uses are removed. If their
    /// version becomes configured again at the same moment, its calls are not counted until the
    /// next snapshot is published.
    pub fn read_changes(&mut self) -> Vec<(CounterKey, CallCounts)> {
        let (mut changed, mut unused) = (Vec::new(), Vec::new());
        for (key, counters) in self.counters.counter_sets().iter() {
            let is_used = Arc::strong_count(counters) > 1;
            let counts = counters.read();
            let last = self.last.entry(key.clone()).or_insert(CallCounts::ZERO);
            if counts != *last {
                changed.push((key.clone(), counts.since(last)));
                *last = counts;
            }
            if !is_used {
                self.last.remove(key);
                unused.push(key.clone());
            }
        }
        self.counters.remove(&unused);
        changed
    }
}
