//! Counters of calls by service, route and version.

mod call_counts;
mod cancellation_guard;
mod counter_key;
mod counter_set;
mod counting_role;
mod reader;
mod registry;

pub use call_counts::{CallCounts, LATENCY_BUCKETS, latency_bound};
pub(crate) use cancellation_guard::CancellationGuard;
pub use counter_key::CounterKey;
pub(crate) use counter_set::CounterSet;
pub use counting_role::CountingRole;
pub use reader::CallCountsReader;
pub(crate) use registry::CounterRegistry;
