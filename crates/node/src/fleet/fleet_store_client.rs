//! Client of the external store that holds configuration and rollouts.

use std::net::SocketAddr;
use std::time::Duration;

use almondsail_core::fleet::{StoreFailure, StoreRequest, StoreResponse};
use almondsail_platform::store as codec;

use crate::clock::to_std_duration;
use crate::fleet::control_http_client::{AnswerError, ControlHttpClient};

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
    pub(crate) async fn call(&self, request: &StoreRequest) -> StoreResponse {
        let timeout = match request {
            StoreRequest::Watch(_, _, time) => self.timeout + to_std_duration(*time),
            // A page can be a megabyte, which takes most of a second over a slow link.
            StoreRequest::List(..) => 2 * self.timeout,
            _ => self.timeout,
        };
        let Ok(sent) = codec::encode(request) else {
            return StoreResponse::failed(StoreFailure::Unreadable);
        };
        match self.client.call(self.address, sent, timeout).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                codec::decode(request, head.status, &head.headers, &body)
            }
            Err(AnswerError::TooLarge) => StoreResponse::failed(StoreFailure::Unreadable),
            Err(AnswerError::Unanswered) => StoreResponse::failed(StoreFailure::Unanswered),
        }
    }
}
