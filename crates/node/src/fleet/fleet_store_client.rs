//! Carries requests to the store.

use std::net::SocketAddr;
use std::time::Duration;

use almondsail_core::fleet::{StoreFailure, StoreReply, StoreRequest};
use almondsail_platform::store as codec;

use crate::clock::duration;
use crate::fleet::control_http_client::{ControlHttpClient, RequestTimeouts};

/// Carries requests to the store.
#[derive(Debug, Clone)]
pub(crate) struct FleetStoreClient {
    address: SocketAddr,
    timeout: Duration,
    client: ControlHttpClient,
}

impl FleetStoreClient {
    /// A caller of the store at `address` that waits for `timeout` at most, and longer for
    /// a watch.
    pub(crate) const fn new(
        address: SocketAddr,
        timeout: Duration,
        client: ControlHttpClient,
    ) -> Self {
        Self { address, timeout, client }
    }

    /// Sends `request` and reads the reply.
    pub(crate) async fn call(&self, request: &StoreRequest) -> Result<StoreReply, StoreFailure> {
        let timeout = match request {
            StoreRequest::Watch(..) => self.timeout + duration(codec::WATCH_TIME),
            // A page may be a megabyte, which a slow link carries in most of a second.
            StoreRequest::List(..) => 2 * self.timeout,
            _ => self.timeout,
        };
        let sent = codec::encode(request).map_err(|_| StoreFailure::Unreadable)?;
        let timeouts = RequestTimeouts { head: timeout, total: timeout };
        let response = self.client.call(self.address, sent, timeouts).await;
        let (status, body) = response.ok_or(StoreFailure::Unanswered)?;
        codec::decode(request, status, &body)
    }
}
