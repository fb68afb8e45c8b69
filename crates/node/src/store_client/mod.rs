//! Requests to the platform's key-value service, the store.

mod http_store;
mod store_call_counter;

use std::future::Future;

use almondsail_core::store::{StoreReply, StoreRequest};

pub use http_store::HttpStore;
pub use store_call_counter::StoreCallCounter;

/// Where the configuration and the sums for reports are kept.
pub trait StoreClient: Clone + 'static {
    /// Carries out a request. The reply says whether a failed write may have taken effect.
    fn request(&self, request: StoreRequest) -> impl Future<Output = StoreReply> + 'static;
}
