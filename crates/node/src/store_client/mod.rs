//! Clients of the store, the platform's key-value service.

mod http_store;
mod store_call_counter;

use std::future::Future;

use almondsail_core::store::{StoreReply, StoreRequest};

pub use http_store::HttpStore;
pub use store_call_counter::StoreCallCounter;

/// A client of the store, which keeps the configuration and the hourly sums for reports.
pub trait StoreClient: Clone + 'static {
    /// Sends a request. The reply of a failed write says whether it may have taken effect.
    fn request(&self, request: StoreRequest) -> impl Future<Output = StoreReply> + 'static;
}
