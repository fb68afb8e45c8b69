//! Counters of calls by service, route and version.

mod call_cell;
mod call_counts;
mod cancel_count;
mod count_key;
mod counted_at;
mod reader;
mod registry;

pub(crate) use call_cell::CallCell;
pub use call_counts::{CallCounts, LATENCY_BUCKETS, latency_bound};
pub(crate) use cancel_count::CancelCount;
pub use count_key::CountKey;
pub use counted_at::CountedAt;
pub use reader::CallCountsReader;
pub(crate) use registry::CallCounters;
