//! Requests to the store.

use std::sync::Arc;

use crate::config::Config;
use crate::report::{HourKey, HourValue};
use crate::store::Revision;

/// Request to the store for the configuration or for the accounting sums of an hour.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// Read the stored configuration with its revision.
    Read,
    /// Wait for a bounded time until the configuration's revision differs from this one.
    Watch(Revision),
    /// Write the configuration if its revision is unchanged.
    CompareAndSwap {
        /// Revision of the configuration that the change is based on; zero if there was none.
        revision: Revision,
        /// Configuration that replaces the stored one.
        config: Arc<Config>,
    },
    /// Read the accounting sums of a data centre and hour.
    ReadHour(HourKey),
    /// Write the accounting sums of a data centre and hour if their revision is unchanged.
    SwapHour {
        /// Data centre and hour of the sums.
        key: HourKey,
        /// Revision of the sums that the new ones are based on; zero if there were none.
        revision: Revision,
        /// Sums that replace the stored ones.
        value: Arc<HourValue>,
    },
}
