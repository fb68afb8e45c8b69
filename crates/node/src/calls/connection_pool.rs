//! Pools of idle connections to a next hop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderName;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::calls::client_connection::{ClientConnection, ExchangeError};
use crate::socket;

/// Keeps idle connections to one address, the most recently used last.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    addr: SocketAddr,
    limits: PoolLimits,
    /// The header that names the request, in the request and in its answer; `None` if answers don't
    /// name their request.
    id_header: Option<HeaderName>,
    /// How long the next hop may take no bytes before a connection counts as broken.
    user_timeout: Duration,
    /// At most `limits.max_idle` connections. The lock is held only to push, pop or expire them.
    idle: Mutex<Vec<ClientConnection>>,
    /// Whether the next hop has closed an idle connection before its idle timeout.
    has_lost: AtomicBool,
}

/// Limits on the connections of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolLimits {
    /// The largest number of idle connections; further ones are closed.
    pub(crate) max_idle: usize,
    /// How long a connection may stay idle before it is closed.
    pub(crate) idle_timeout: Duration,
    /// How long opening a connection may take.
    pub(crate) connect_timeout: Duration,
}

impl ConnectionPool {
    pub(crate) const fn new(addr: SocketAddr, limits: PoolLimits) -> Self {
        let (id_header, user_timeout) = (None, socket::USER_TIMEOUT);
        Self {
            addr,
            limits,
            id_header,
            user_timeout,
            idle: Mutex::new(Vec::new()),
            has_lost: AtomicBool::new(false),
        }
    }

    /// Recognises answers to earlier requests by the value of `header`, which an answer has from its
    /// request.
    #[must_use]
    pub(crate) fn with_id_header(mut self, header: HeaderName) -> Self {
        self.id_header = Some(header);
        self
    }

    /// Sets how long the next hop may take no bytes before a connection counts as broken.
    #[must_use]
    pub(crate) const fn with_user_timeout(mut self, timeout: Duration) -> Self {
        self.user_timeout = timeout;
        self
    }

    /// Takes an idle connection that can still be used.
    fn take_idle(&self) -> Option<ClientConnection> {
        loop {
            let mut connection = self.lock().pop()?;
            if connection.last_used.elapsed() >= self.limits.idle_timeout {
                continue;
            }
            if connection.is_reusable() {
                return Some(connection);
            }
            self.has_lost.store(true, Ordering::Relaxed);
        }
    }

    /// Sends a request over an idle or a new connection, and waits for the head of the answer until
    /// `until`. `request` is called once for each connection that is tried.
    pub(crate) async fn send(
        &self,
        request: impl Fn() -> Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<(Response<Incoming>, ClientConnection), ExchangeError> {
        if let Some(mut connection) = self.take_idle() {
            match connection.send(request(), self.id_header.as_ref(), until).await {
                Ok(response) => return Ok((response, connection)),
                // The next hop closed the idle connection; a new one may work.
                Err(ExchangeError::NotSent) => self.has_lost.store(true, Ordering::Relaxed),
                Err(error) => return Err(error),
            }
        }
        let connect =
            ClientConnection::connect(self.addr, self.limits.connect_timeout, self.user_timeout);
        let Ok(Ok(mut connection)) = tokio::time::timeout_at(until, connect).await else {
            return Err(ExchangeError::NotSent);
        };
        let response = connection.send(request(), self.id_header.as_ref(), until).await?;
        Ok((response, connection))
    }

    /// Returns whether the next hop has closed an idle connection before its idle timeout since the
    /// last call.
    pub(crate) fn take_lost(&self) -> bool {
        self.has_lost.swap(false, Ordering::Relaxed)
    }

    /// Returns a connection to the pool.
    pub(crate) fn release(&self, mut connection: ClientConnection) {
        connection.last_used = Instant::now();
        let mut idle = self.lock();
        if idle.len() < self.limits.max_idle {
            idle.push(connection);
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        let idle_timeout = self.limits.idle_timeout;
        self.lock().retain(|connection| connection.last_used.elapsed() < idle_timeout);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<ClientConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
