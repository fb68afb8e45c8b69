//! Requests to the store.

use std::sync::Arc;

use crate::config::Config;
use crate::report::{HourKey, HourValue};
use crate::store::Revision;

/// A request to the store about the configuration, or about the sums of an hour.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// Read the value.
    Read,
    /// Wait until the value's revision differs from this one, for a bounded time.
    Watch(Revision),
    /// Write the value if its revision is still this one.
    CompareAndSwap {
        /// The revision that the decision was made from; zero if there was no value.
        revision: Revision,
        /// The new value.
        config: Arc<Config>,
    },
    /// Read the sums of a data centre and hour.
    ReadHour(HourKey),
    /// Write the sums of a data centre and hour if their revision is still this one.
    SwapHour {
        /// The data centre and hour.
        key: HourKey,
        /// The revision that the decision was made from; zero if there was no value.
        revision: Revision,
        /// The new value.
        value: Arc<HourValue>,
    },
}
