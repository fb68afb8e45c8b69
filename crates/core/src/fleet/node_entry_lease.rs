//! Keeps the entry of a node in the store alive.

use crate::fleet::{
    Departure, LeaseId, NodeEntry, StoreFailure, StoreReply, StoreRequest, StoreWrite,
};
use crate::units::{Instant, Millis};

/// Keeps the entry of a node in the store alive under a lease.
#[derive(Debug)]
pub(super) struct NodeEntryLease {
    entry: NodeEntry,
    state: State,
    /// No request is sent before.
    next_request_at: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    NoLease,
    EntryPending(LeaseId),
    EntryWritten(LeaseId),
}

impl NodeEntryLease {
    /// How long the entry outlives its node.
    const TTL: Millis = Millis::new(8_000);
    /// Time between two renewals; two may be lost within a lease.
    const RENEWAL_INTERVAL: Millis = Millis::new(2_500);
    /// Pause after a failure.
    const RETRY_DELAY: Millis = Millis::new(600);

    pub(super) const fn new(entry: NodeEntry) -> Self {
        Self { entry, state: State::NoLease, next_request_at: Instant::new(0) }
    }

    /// The next request, if it is due at `now`.
    pub(super) fn request(&self, now: Instant) -> Option<StoreRequest> {
        if now < self.next_request_at {
            return None;
        }
        Some(match self.state {
            State::NoLease => StoreRequest::OpenLease(Self::TTL),
            State::EntryPending(lease) => {
                StoreRequest::Write(StoreWrite::Node(self.entry.clone(), lease))
            }
            State::EntryWritten(lease) => StoreRequest::KeepLease(lease),
        })
    }

    /// Takes the reply to the last request.
    pub(super) fn reply(&mut self, now: Instant, reply: &Result<StoreReply, StoreFailure>) {
        match (reply, self.state) {
            (Ok(StoreReply::Lease(lease)), State::NoLease) => {
                self.state = State::EntryPending(*lease);
                self.next_request_at = now;
            }
            (Ok(StoreReply::Written(_)), State::EntryPending(lease)) => {
                self.state = State::EntryWritten(lease);
                self.next_request_at = now + Self::RENEWAL_INTERVAL;
            }
            (Ok(StoreReply::Lease(_)), State::EntryWritten(_)) => {
                self.next_request_at = now + Self::RENEWAL_INTERVAL
            }
            (Err(StoreFailure::NoLease), _) => {
                self.state = State::NoLease;
                self.next_request_at = now;
            }
            _ => self.next_request_at = now + Self::RETRY_DELAY,
        }
    }

    /// Writes that a backend server has left beside the node.
    pub(super) fn record_departure(&mut self, now: Instant, departure: Departure) {
        self.entry.departed = Some(departure);
        if let State::EntryWritten(lease) = self.state {
            self.state = State::EntryPending(lease);
            self.next_request_at = now;
        }
    }

    /// Writes the entry again: it was removed although the node lives.
    pub(super) fn entry_removed(&mut self, now: Instant) {
        if let State::EntryWritten(_) = self.state {
            self.state = State::NoLease;
            self.next_request_at = now;
        }
    }
}
