//! Keeps the entry of a node in the store alive.

use crate::fleet::{
    Departure, LeaseId, NodeEntry, StoreFailure, StoreReply, StoreRequest, StoreWrite,
};
use crate::units::{Instant, Millis};

/// Keeps the entry of a node in the store alive under a lease.
#[derive(Debug)]
pub(super) struct LeaseKeeper {
    entry: NodeEntry,
    state: State,
    /// No request is sent before.
    next: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    NoLease,
    NoEntry(LeaseId),
    Kept(LeaseId),
}

impl LeaseKeeper {
    /// How long the entry outlives its node.
    const TTL: Millis = Millis::new(8_000);
    /// Time between two renewals; two may be lost within a lease.
    const RENEWAL: Millis = Millis::new(2_500);
    /// Pause after a failure.
    const PAUSE: Millis = Millis::new(600);

    pub(super) const fn new(entry: NodeEntry) -> Self {
        Self { entry, state: State::NoLease, next: Instant::new(0) }
    }

    /// The next request, if it is due at `now`.
    pub(super) fn request(&self, now: Instant) -> Option<StoreRequest> {
        if now < self.next {
            return None;
        }
        Some(match self.state {
            State::NoLease => StoreRequest::OpenLease(Self::TTL),
            State::NoEntry(lease) => {
                StoreRequest::Write(StoreWrite::Node(self.entry.clone(), lease))
            }
            State::Kept(lease) => StoreRequest::KeepLease(lease),
        })
    }

    /// Takes the reply to the last request.
    pub(super) fn reply(&mut self, now: Instant, reply: &Result<StoreReply, StoreFailure>) {
        match (reply, self.state) {
            (Ok(StoreReply::Lease(lease)), State::NoLease) => {
                self.state = State::NoEntry(*lease);
                self.next = now;
            }
            (Ok(StoreReply::Written(_)), State::NoEntry(lease)) => {
                self.state = State::Kept(lease);
                self.next = now + Self::RENEWAL;
            }
            (Ok(StoreReply::Lease(_)), State::Kept(_)) => self.next = now + Self::RENEWAL,
            (Err(StoreFailure::NoLease), _) => {
                self.state = State::NoLease;
                self.next = now;
            }
            _ => self.next = now + Self::PAUSE,
        }
    }

    /// Writes that a backend server has left beside the node.
    pub(super) fn departed(&mut self, now: Instant, departure: Departure) {
        self.entry.departed = Some(departure);
        if let State::Kept(lease) = self.state {
            self.state = State::NoEntry(lease);
            self.next = now;
        }
    }

    /// Writes the entry again: it was removed although the node lives.
    pub(super) fn entry_lost(&mut self, now: Instant) {
        if let State::Kept(_) = self.state {
            self.state = State::NoLease;
            self.next = now;
        }
    }
}
