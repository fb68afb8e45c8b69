//! Counters of calls by service, route and version.

mod call_counts;
mod cancellation_guard;
mod count_key;
mod counted_at;
mod counter_set;
mod reader;
mod registry;

pub use call_counts::{CallCounts, LATENCY_BUCKETS, latency_bound};
pub(crate) use cancellation_guard::CancellationGuard;
pub use count_key::CountKey;
pub use counted_at::CountedAt;
pub(crate) use counter_set::CounterSet;
pub use reader::CallCountsReader;
pub(crate) use registry::CounterRegistry;
