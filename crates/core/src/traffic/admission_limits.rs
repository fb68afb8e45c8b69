//! The limits of an admission controller.

/// The largest numbers of calls that an admission controller lets run and wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The number of calls that the backend server runs at a time, as announced by it.
    pub slots: u16,
    /// The number of connections that the backend server accepts, as announced by it.
    pub connections: u16,
}

impl AdmissionLimits {
    /// The largest number of waiting calls for each call that may run.
    const QUEUE_PER_SLOT: usize = 4;

    /// Returns the largest number of calls that run at a time. Each needs a slot and a connection.
    pub const fn running(self) -> usize {
        if self.slots < self.connections { self.slots as usize } else { self.connections as usize }
    }

    /// Returns the largest number of calls that wait at a time, of both priorities together.
    pub const fn queued(self) -> usize {
        self.running() * Self::QUEUE_PER_SLOT
    }
}
