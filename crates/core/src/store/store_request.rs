//! Requests to the store.

use std::sync::Arc;

use crate::config::Config;
use crate::store::Revision;

/// A request to the store about the configuration's key.
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
}
