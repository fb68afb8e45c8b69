//! The slots of a backend server and the queue in front of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// The slots of a backend server and the queue in front of them.
#[derive(Debug)]
pub(super) struct Slots {
    free: Arc<Semaphore>,
    /// Calls that hold a slot or wait for one.
    occupied: AtomicUsize,
    /// Calls that may hold a slot or wait for one.
    capacity: usize,
}

/// A slot held by a call.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    _permit: OwnedSemaphorePermit,
    _count_guard: CountGuard<'a>,
}

/// A place in the queue or in a slot; given back when dropped.
#[derive(Debug)]
struct CountGuard<'a>(&'a AtomicUsize);

impl Slots {
    pub(super) fn new(slots: usize, queue: usize) -> Self {
        let free = Arc::new(Semaphore::new(slots));
        Self { free, occupied: AtomicUsize::new(0), capacity: slots + queue }
    }

    /// How many calls hold a slot or wait for one.
    pub(super) fn load(&self) -> usize {
        self.occupied.load(Ordering::Relaxed)
    }

    /// Waits for a slot until `deadline`; `None` if the queue is full or time is up.
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
