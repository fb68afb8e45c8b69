//! What the runner and the callers share.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::Checker;

/// What the runner and the callers share.
#[derive(Debug)]
pub(super) struct Shared {
    /// The start of the run.
    pub(super) started: Instant,
    checker: Mutex<Checker>,
    /// The addresses at which nodes take calls; `None` while a node is down.
    addresses: Mutex<Vec<Option<SocketAddr>>>,
    /// Whether callers send no further calls.
    pub(super) has_ended: AtomicBool,
}

impl Shared {
    pub(super) fn new(checker: Checker, addresses: Vec<Option<SocketAddr>>) -> Self {
        Self {
            started: Instant::now(),
            checker: Mutex::new(checker),
            addresses: Mutex::new(addresses),
            has_ended: AtomicBool::new(false),
        }
    }

    /// Returns the time since the start of the run.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_address(&self, node: usize, address: Option<SocketAddr>) {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)[node] = address;
    }

    pub(super) fn address(&self, node: usize) -> Option<SocketAddr> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)[node]
    }
}
