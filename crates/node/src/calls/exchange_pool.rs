//! Pools of idle connections to a next hop.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::calls::exchange::{Exchange, ExchangeError};

/// Keeps idle connections to one address, the most recently used last.
#[derive(Debug)]
pub(crate) struct ExchangePool {
    addr: SocketAddr,
    limits: PoolLimits,
    /// At most `limits.idle` connections. The lock is held only to push, pop or expire them.
    idle: Mutex<Vec<Exchange>>,
}

/// Limits on the connections of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolLimits {
    /// The largest number of idle connections; further ones are closed.
    pub(crate) idle: usize,
    /// How long a connection may stay idle before it is closed.
    pub(crate) idle_time: Duration,
    /// How long opening a connection may take.
    pub(crate) connect_time: Duration,
}

impl ExchangePool {
    pub(crate) const fn new(addr: SocketAddr, limits: PoolLimits) -> Self {
        Self { addr, limits, idle: Mutex::new(Vec::new()) }
    }

    /// Takes an idle connection that can still be used.
    fn take_idle(&self) -> Option<Exchange> {
        loop {
            let mut exchange = self.lock().pop()?;
            if exchange.last_used.elapsed() < self.limits.idle_time && exchange.is_reusable() {
                return Some(exchange);
            }
        }
    }

    /// Sends a request over an idle or a new connection, and waits for the head of the answer until
    /// `until`. `request` is called once for each connection that is tried.
    pub(crate) async fn send(
        &self,
        request: impl Fn() -> Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<(Response<Incoming>, Exchange), ExchangeError> {
        if let Some(mut exchange) = self.take_idle() {
            match exchange.send(request(), until).await {
                Ok(response) => return Ok((response, exchange)),
                // The next hop closed the idle connection; a new one may work.
                Err(ExchangeError::NotSent) => {}
                Err(error) => return Err(error),
            }
        }
        let connect = Exchange::connect(self.addr, self.limits.connect_time);
        let Ok(Ok(mut exchange)) = tokio::time::timeout_at(until, connect).await else {
            return Err(ExchangeError::NotSent);
        };
        let response = exchange.send(request(), until).await?;
        Ok((response, exchange))
    }

    /// Returns a connection to the pool.
    pub(crate) fn put(&self, mut exchange: Exchange) {
        exchange.last_used = Instant::now();
        let mut idle = self.lock();
        if idle.len() < self.limits.idle {
            idle.push(exchange);
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_old(&self) {
        let idle_time = self.limits.idle_time;
        self.lock().retain(|exchange| exchange.last_used.elapsed() < idle_time);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Exchange>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
