//! Counters of calls by service, route and version.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use almondsail_core::ids::{RouteName, ServiceName, VersionName};
use almondsail_core::units::Micros;
use almondsail_core::{RefusalReason, RetryReason};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter};

/// The label of calls that match no route.
const UNKNOWN: &str = "unknown";
/// The number of latency buckets; the last one has no upper bound.
pub const LATENCY_BUCKETS: usize = 41;

/// The upper bound of latency bucket `i`: 100 us, 150 us, 200 us, 300 us and so on.
pub const fn latency_bound(i: usize) -> Option<Micros> {
    const FIRST: [u64; 2] = [100, 150];
    if i + 1 < LATENCY_BUCKETS { Some(Micros::new(FIRST[i % 2] << (i / 2))) } else { None }
}

/// Where calls were counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CountedAt {
    /// At the node that the caller chose.
    Entry,
    /// At the door of the backend server.
    Door,
}

impl CountedAt {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Door => "door",
        }
    }
}

/// What a cell of counters counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CountKey {
    /// Where the calls were counted.
    pub at: CountedAt,
    /// The route and its service; `None` for calls that match no route.
    pub route: Option<(ServiceName, RouteName)>,
    /// The version; `None` for calls that were not sent to a backend server.
    pub version: Option<VersionName>,
}

/// The counts of one cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallCounts {
    /// The calls that ended.
    pub calls: u64,
    /// The answers with status 500 or above that a backend server gave.
    pub server_errors: u64,
    /// The calls that the caller gave up.
    pub cancelled: u64,
    /// The failures, in the order of [`RefusalReason::ALL`].
    pub failures: [u64; RefusalReason::ALL.len()],
    /// The retries, in the order of [`RetryReason::ALL`].
    pub retries: [u64; RetryReason::ALL.len()],
    /// The complete answers without a server error by latency; see [`latency_bound`].
    pub latency: [u64; LATENCY_BUCKETS],
}

impl CallCounts {
    /// No calls.
    pub const ZERO: Self = Self {
        calls: 0,
        server_errors: 0,
        cancelled: 0,
        failures: [0; RefusalReason::ALL.len()],
        retries: [0; RetryReason::ALL.len()],
        latency: [0; LATENCY_BUCKETS],
    };

    /// The counts since `earlier`, a state of the same cell.
    fn since(&self, earlier: &Self) -> Self {
        let diff = |i: &u64, j: &u64| i.wrapping_sub(*j);
        Self {
            calls: diff(&self.calls, &earlier.calls),
            server_errors: diff(&self.server_errors, &earlier.server_errors),
            cancelled: diff(&self.cancelled, &earlier.cancelled),
            failures: std::array::from_fn(|i| diff(&self.failures[i], &earlier.failures[i])),
            retries: std::array::from_fn(|i| diff(&self.retries[i], &earlier.retries[i])),
            latency: std::array::from_fn(|i| diff(&self.latency[i], &earlier.latency[i])),
        }
    }
}

/// The counters of one cell. They only grow.
#[derive(Debug)]
pub(crate) struct CallCell {
    calls: AtomicU64,
    server_errors: AtomicU64,
    cancelled: AtomicU64,
    failures: [AtomicU64; RefusalReason::ALL.len()],
    retries: [AtomicU64; RetryReason::ALL.len()],
    latency: [AtomicU64; LATENCY_BUCKETS],
}

impl CallCell {
    fn new() -> Self {
        let zero = |_| AtomicU64::new(0);
        Self {
            calls: AtomicU64::new(0),
            server_errors: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            failures: std::array::from_fn(zero),
            retries: std::array::from_fn(zero),
            latency: std::array::from_fn(zero),
        }
    }

    /// Counts a complete answer.
    pub(crate) fn answered(&self, latency: Micros, is_server_error: bool) {
        add(&self.calls);
        if is_server_error {
            add(&self.server_errors);
            return;
        }
        let is_above = |i: &usize| latency_bound(*i).is_some_and(|bound| bound < latency);
        let bucket = (0..LATENCY_BUCKETS).find(|i| !is_above(i)).unwrap_or(LATENCY_BUCKETS - 1);
        add(&self.latency[bucket]);
    }

    /// Counts a failed call.
    pub(crate) fn failed(&self, reason: RefusalReason) {
        add(&self.calls);
        add(&self.failures[reason as usize]);
    }

    /// Counts a call that the caller gave up.
    pub(crate) fn cancelled(&self) {
        add(&self.calls);
        add(&self.cancelled);
    }

    /// Counts a retry.
    pub(crate) fn retried(&self, reason: RetryReason) {
        add(&self.retries[reason as usize]);
    }

    fn read(&self) -> CallCounts {
        CallCounts {
            calls: get(&self.calls),
            server_errors: get(&self.server_errors),
            cancelled: get(&self.cancelled),
            failures: std::array::from_fn(|i| get(&self.failures[i])),
            retries: std::array::from_fn(|i| get(&self.retries[i])),
            latency: std::array::from_fn(|i| get(&self.latency[i])),
        }
    }
}

/// Counts a call as cancelled if it is dropped before its result.
pub(crate) struct CancelCount<'a> {
    cell: Option<&'a Arc<CallCell>>,
}

impl<'a> CancelCount<'a> {
    pub(crate) const fn new(cell: Option<&'a Arc<CallCell>>) -> Self {
        Self { cell }
    }

    /// Notes that the call has a result, which is counted elsewhere.
    pub(crate) fn disarm(mut self) {
        self.cell = None;
    }
}

impl Drop for CancelCount<'_> {
    fn drop(&mut self) {
        if let Some(cell) = self.cell {
            cell.cancelled();
        }
    }
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn get(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Every cell of the node. Locked only to add, drain and export cells, never by a call.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallCounters {
    cells: Arc<Mutex<BTreeMap<CountKey, Arc<CallCell>>>>,
}

impl CallCounters {
    /// The cell for `key`, created if there is none.
    pub(crate) fn cell(&self, key: CountKey) -> Arc<CallCell> {
        Arc::clone(self.lock().entry(key).or_insert_with(|| Arc::new(CallCell::new())))
    }

    /// Exports the counters through `meter`.
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
            for (key, cell) in counters.lock().iter() {
                let mut add = |reason: &'static str, n: u64| {
                    if n > 0 {
                        observer.observe(n, &labels(key, reason));
                    }
                };
                values(&cell.read(), &mut add);
            }
        };
        let _ = meter.u64_observable_counter(name).with_callback(observe).build();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<CountKey, Arc<CallCell>>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn labels(key: &CountKey, reason: &'static str) -> Vec<KeyValue> {
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

/// Reads the counts for the control thread.
#[derive(Debug)]
pub struct CallCountsReader {
    counters: CallCounters,
    /// The state of each cell at the last call of [`Self::drain`].
    last: BTreeMap<CountKey, CallCounts>,
}

impl CallCountsReader {
    pub(crate) fn new(counters: CallCounters) -> Self {
        Self { counters, last: BTreeMap::new() }
    }

    /// The number of cells.
    pub fn cells(&self) -> usize {
        self.counters.lock().len()
    }

    /// The counts since the last call, without the cells that have not changed.
    ///
    /// A cell that no configuration in force and no call uses any more is dropped.
    pub fn drain(&mut self) -> Vec<(CountKey, CallCounts)> {
        let mut changed = Vec::new();
        self.counters.lock().retain(|key, cell| {
            let is_used = Arc::strong_count(cell) > 1;
            let counts = cell.read();
            let last = self.last.entry(key.clone()).or_insert(CallCounts::ZERO);
            if counts != *last {
                changed.push((key.clone(), counts.since(last)));
                *last = counts;
            }
            if !is_used {
                self.last.remove(key);
            }
            is_used
        });
        changed
    }
}
