//! All call counters of a node.

use std::collections::BTreeMap;
use std::sync::Arc;

use almondsail_core::{RefusalReason, RetryReason};
use arc_swap::ArcSwap;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter};

use super::{CallCounts, CounterKey, CounterSet};

/// The value of the labels `service` and `route` for calls that match no route.
const UNKNOWN: &str = "unknown";

/// The counters of a node by their key.
pub(super) type CounterSets = BTreeMap<CounterKey, Arc<CounterSet>>;

/// All call counters of a node.
///
/// The map is replaced as a whole when counters are added or removed, so that traffic and
/// control threads never wait for each other.
#[derive(Debug, Clone, Default)]
pub(crate) struct CounterRegistry {
    counter_sets: Arc<ArcSwap<CounterSets>>,
}

impl CounterRegistry {
    /// Returns the counters for `key`, creating them if there are none.
    pub(crate) fn counters(&self, key: CounterKey) -> Arc<CounterSet> {
        loop {
            let known = self.counter_sets.load().get(&key).cloned();
            let counters = known.unwrap_or_else(|| Arc::new(CounterSet::new()));
            // This reference marks the counters as used, so that the reader doesn't remove them.
            if self
                .counter_sets
                .load()
                .get(&key)
                .is_some_and(|registered| Arc::ptr_eq(registered, &counters))
            {
                return counters;
            }
            self.counter_sets.rcu(|counter_sets| {
                let mut counter_sets = CounterSets::clone(counter_sets);
                counter_sets.entry(key.clone()).or_insert_with(|| Arc::clone(&counters));
                counter_sets
            });
        }
    }

    /// Returns the current map of all counters.
    pub(super) fn counter_sets(&self) -> Arc<CounterSets> {
        self.counter_sets.load_full()
    }

    /// Removes the counters for `keys`.
    pub(super) fn remove(&self, keys: &[CounterKey]) {
        if keys.is_empty() {
            return;
        }
        self.counter_sets.rcu(|counter_sets| {
            let mut counter_sets = CounterSets::clone(counter_sets);
            keys.iter().for_each(|key| drop(counter_sets.remove(key)));
            counter_sets
        });
    }

    /// Exports all counters through `meter`.
    pub(crate) fn export(&self, meter: &Meter) {
        self.export_counter(meter, "almondsail_calls", |counts, add| add("", counts.calls));
        self.export_counter(meter, "almondsail_server_errors", |counts, add| {
            add("", counts.server_errors);
        });
        self.export_counter(meter, "almondsail_call_failures", |counts, add| {
            for (reason, n) in RefusalReason::ALL.iter().zip(counts.failures) {
                add(reason.as_str(), n);
            }
        });
        self.export_counter(meter, "almondsail_call_retries", |counts, add| {
            for (reason, n) in RetryReason::ALL.iter().zip(counts.retries) {
                add(reason.as_str(), n);
            }
        });
    }

    fn export_counter(
        &self,
        meter: &Meter,
        name: &'static str,
        values: impl Fn(&CallCounts, &mut dyn FnMut(&'static str, u64)) + Send + Sync + 'static,
    ) {
        let counters = self.clone();
        let observe = move |observer: &dyn AsyncInstrument<u64>| {
            for (key, counters) in counters.counter_sets().iter() {
                let mut add = |reason: &'static str, n: u64| {
                    if n > 0 {
                        observer.observe(n, &labels(key, reason));
                    }
                };
                values(&counters.read(), &mut add);
            }
        };
        let _ = meter.u64_observable_counter(name).with_callback(observe).build();
    }
}

fn labels(key: &CounterKey, reason: &'static str) -> Vec<KeyValue> {
    let (service, route) = match &key.route {
        Some((service, route)) => (service.to_string(), route.to_string()),
        None => (UNKNOWN.to_owned(), UNKNOWN.to_owned()),
    };
    let mut labels = vec![
        KeyValue::new("at", key.at.as_str()),
        KeyValue::new("service", service),
        KeyValue::new("route", route),
    ];
    if let Some(version) = &key.version {
        labels.push(KeyValue::new("version", version.to_string()));
    }
    if !reason.is_empty() {
        labels.push(KeyValue::new("reason", reason));
    }
    labels
}
