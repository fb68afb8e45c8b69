//! Limits how many calls run and how many wait at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Limits how many calls run and how many wait for one of the running slots.
#[derive(Debug)]
pub(super) struct Slots {
    free: Arc<Semaphore>,
    /// Number of calls that run or wait.
    occupied: AtomicUsize,
    /// The largest number of calls that may run or wait.
    capacity: usize,
}

/// A slot held by a running call; released when dropped.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    _permit: OwnedSemaphorePermit,
    _count_guard: CountGuard<'a>,
}

/// Decrements the number of running and waiting calls when dropped.
#[derive(Debug)]
struct CountGuard<'a>(&'a AtomicUsize);

impl Slots {
    pub(super) fn new(slots: usize, queue: usize) -> Self {
        let free = Arc::new(Semaphore::new(slots));
        Self { free, occupied: AtomicUsize::new(0), capacity: slots + queue }
    }

    /// Returns the number of calls that run or wait.
    pub(super) fn load(&self) -> usize {
        self.occupied.load(Ordering::Relaxed)
    }

    /// Waits for a slot; returns `None` if the queue is full or `deadline` passes first.
    pub(super) async fn acquire(&self, deadline: Option<Instant>) -> Option<Slot<'_>> {
        let before = self.occupied.fetch_add(1, Ordering::Relaxed);
        let count_guard = CountGuard(&self.occupied);
        if before >= self.capacity {
            return None;
        }
        let acquire = Arc::clone(&self.free).acquire_owned();
        let permit = match deadline {
            Some(deadline) => tokio::time::timeout_at(deadline, acquire).await.ok()?,
            None => acquire.await,
        };
        Some(Slot { _permit: permit.ok()?, _count_guard: count_guard })
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
