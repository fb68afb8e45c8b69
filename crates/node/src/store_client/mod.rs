//! Requests to the platform's key-value service, the store.

mod call_counts;
mod http_store;

use std::future::Future;

use almondsail_core::store::{StoreReply, StoreRequest};

pub use call_counts::CallCounts;
pub use http_store::HttpStore;

/// Where the configuration and the sums for reports are kept.
pub trait StoreClient: Clone + 'static {
    /// Carries out a request. The reply says whether a failed write may have taken effect.
    fn request(&self, request: StoreRequest) -> impl Future<Output = StoreReply> + 'static;
}
