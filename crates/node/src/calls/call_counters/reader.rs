//! The control thread's view of the counters.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{CallCounts, CountKey, CounterRegistry};

/// Reads the counts for the control thread.
#[derive(Debug)]
pub struct CallCountsReader {
    counters: CounterRegistry,
    /// The state of each cell at the last call of [`Self::drain`].
    last: BTreeMap<CountKey, CallCounts>,
}

impl CallCountsReader {
    pub(crate) fn new(counters: CounterRegistry) -> Self {
        Self { counters, last: BTreeMap::new() }
    }

    /// The number of cells.
    pub fn counter_set_count(&self) -> usize {
        self.counters.counter_sets().len()
    }

    /// The counts since the last call, without the cells that have not changed.
    ///
    /// A cell that no configuration in force and no call uses any more is dropped. If its
    /// version comes back in the same moment, its calls are not counted until the next
    /// snapshot is published.
    pub fn drain(&mut self) -> Vec<(CountKey, CallCounts)> {
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
