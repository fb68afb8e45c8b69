//! The limits of an admission controller.

/// How much an admission controller admits at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The calls that the backend server runs at a time.
    pub slots: u16,
    /// The connections that the backend server accepts.
    pub connections: u16,
}

impl AdmissionLimits {
    /// The calls that wait at most, for each call that runs.
    const QUEUE_PER_SLOT: usize = 4;

    /// The calls that run at a time. Each needs a slot and a connection.
    pub const fn running(self) -> usize {
        if self.slots < self.connections { self.slots as usize } else { self.connections as usize }
    }

    /// The calls that wait at most.
    pub const fn queued(self) -> usize {
        self.running() * Self::QUEUE_PER_SLOT
    }
}
