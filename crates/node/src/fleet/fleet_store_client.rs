//! Client of the external store that holds configuration and rollouts.

use std::net::SocketAddr;
use std::time::Duration;

use almondsail_core::fleet::{StoreFailure, StoreRequest, StoreResponse};
use almondsail_platform::store as codec;

use crate::clock::to_std_duration;
use crate::fleet::control_http_client::{self, AnswerError, ControlHttpClient};
use bytes::Bytes;
use http::{Request, Response};

/// Sends requests to the store over HTTP.
#[derive(Debug, Clone)]
pub(crate) struct FleetStoreClient {
    address: SocketAddr,
    timeout: Duration,
    client: ControlHttpClient,
}

impl FleetStoreClient {
    /// Creates a client of the store at `address`. `timeout` limits the wait for the head of an
    /// answer, which is twice as long for a listing and longer for a watch by the time that the
    /// store holds it open. A body may take twice as long as `timeout`.
    pub(crate) const fn new(
        address: SocketAddr,
        timeout: Duration,
        client: ControlHttpClient,
    ) -> Self {
        Self { address, timeout, client }
    }

    /// Sends `request` and decodes the reply. Calls `on_head` once the answer to a watch begins
    /// to arrive.
    pub(crate) async fn call(
        &self,
        request: &StoreRequest,
        on_head: impl AsyncFnOnce(),
    ) -> StoreResponse {
        let Ok(sent) = codec::encode(request) else {
            return StoreResponse::failed(StoreFailure::Unreadable);
        };
        match self.exchange(request, sent, on_head).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                codec::decode(request, head.status, &head.headers, &body)
            }
            Err(AnswerError::TooLarge) => StoreResponse::failed(StoreFailure::Unreadable),
            Err(AnswerError::Unanswered) => StoreResponse::failed(StoreFailure::Unanswered),
        }
    }

    async fn exchange(
        &self,
        request: &StoreRequest,
        sent: Request<Bytes>,
        on_head: impl AsyncFnOnce(),
    ) -> Result<Response<Bytes>, AnswerError> {
        let limit = match request {
            StoreRequest::Watch(_, _, time) => self.timeout + to_std_duration(*time),
            StoreRequest::List(..) => 2 * self.timeout,
            _ => self.timeout,
        };
        let response = self.client.send_within(self.address, sent, limit).await?;
        if let StoreRequest::Watch(..) = request {
            on_head().await;
        }
        // A page can be a megabyte, which takes most of a second over a slow link.
        control_http_client::read_within(response, 2 * self.timeout).await
    }
}
