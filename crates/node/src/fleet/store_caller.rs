//! Carries requests to the store.

use std::net::SocketAddr;
use std::time::Duration;

use almondsail_core::fleet::{StoreFailure, StoreReply, StoreRequest};
use almondsail_platform::store as codec;

use crate::clock::duration;
use crate::fleet::http_caller::{CallLimits, HttpCaller};

/// Carries requests to the store.
#[derive(Debug, Clone)]
pub(crate) struct StoreCaller {
    address: SocketAddr,
    timeout: Duration,
    caller: HttpCaller,
}

impl StoreCaller {
    /// A caller of the store at `address` that waits for `timeout` at most, and longer for
    /// a watch.
    pub(crate) const fn new(address: SocketAddr, timeout: Duration, caller: HttpCaller) -> Self {
        Self { address, timeout, caller }
    }

    /// Sends `request` and reads the reply.
    pub(crate) async fn call(&self, request: &StoreRequest) -> Result<StoreReply, StoreFailure> {
        let limit = match request {
            StoreRequest::Watch(..) => self.timeout + duration(codec::WATCH_TIME),
            // A page may be a megabyte, which a slow link carries in most of a second.
            StoreRequest::List(..) => 2 * self.timeout,
            _ => self.timeout,
        };
        let sent = codec::encode(request).map_err(|_| StoreFailure::Unreadable)?;
        let limits = CallLimits { head: limit, whole: limit };
        let answer = self.caller.call(self.address, sent, limits).await;
        let (status, body) = answer.ok_or(StoreFailure::Unanswered)?;
        codec::decode(request, status, &body)
    }
}
