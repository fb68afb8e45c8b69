//! Client of the external store that holds configuration and rollouts.

use std::net::SocketAddr;
use std::time::Duration;

use almondsail_core::fleet::{StoreFailure, StoreReply, StoreRequest};
use almondsail_platform::store as codec;

use crate::clock::to_std_duration;
use crate::fleet::control_http_client::{ControlHttpClient, RequestTimeouts};

/// Sends requests to the store over HTTP.
#[derive(Debug, Clone)]
pub(crate) struct FleetStoreClient {
    address: SocketAddr,
    timeout: Duration,
    client: ControlHttpClient,
}

impl FleetStoreClient {
    /// Creates a client of the store at `address`. `timeout` limits a request; a listing may take
    /// twice as long, and a watch longer by the time that the store holds it open.
    pub(crate) const fn new(
        address: SocketAddr,
        timeout: Duration,
        client: ControlHttpClient,
    ) -> Self {
        Self { address, timeout, client }
    }

    /// Sends `request` and decodes the reply.
    pub(crate) async fn call(&self, request: &StoreRequest) -> Result<StoreReply, StoreFailure> {
        let timeout = match request {
            StoreRequest::Watch(..) => self.timeout + to_std_duration(codec::WATCH_TIMEOUT),
            // A page can be a megabyte, which takes most of a second over a slow link.
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
