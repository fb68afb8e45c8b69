//! The lease that keeps a node's entry in the store.

use crate::fleet::{LeaseId, NodeEntry, StoreFailure, StoreReply, StoreRequest, StoreWrite};
use crate::units::{Instant, Millis};

/// Writes the entry of a node to the store and renews the lease that keeps it there.
#[derive(Debug)]
pub(super) struct NodeEntryLease {
    entry: NodeEntry,
    state: State,
    /// No request is sent before this instant.
    next_request_at: Instant,
    /// Whether the last request failed, so that the next one is delayed.
    is_failing: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    NoLease,
    EntryPending(LeaseId),
    EntryWritten(LeaseId),
}

impl NodeEntryLease {
    /// How long the entry stays in the store after its node has stopped renewing the lease.
    const TTL: Millis = Millis::new(8_000);
    /// The time between two renewals. Two renewals may be lost before the lease lapses.
    const RENEWAL_INTERVAL: Millis = Millis::new(2_500);
    /// The delay before a request is sent after a failure.
    const RETRY_DELAY: Millis = Millis::new(600);

    pub(super) const fn new(entry: NodeEntry) -> Self {
        Self { entry, state: State::NoLease, next_request_at: Instant::new(0), is_failing: false }
    }

    /// Returns the next request if it is due at `now`.
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

    /// Handles the reply to the last request.
    pub(super) fn reply(&mut self, now: Instant, reply: &Result<StoreReply, StoreFailure>) {
        self.is_failing = !matches!(reply, Ok(_) | Err(StoreFailure::NoLease));
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

    /// Writes the entry under a new lease, because the store was restored: the known lease may be
    /// gone, and its id may have been given to another node.
    pub(super) fn restart(&mut self, now: Instant) {
        self.state = State::NoLease;
        self.next_request_at = now;
    }

    /// Brings the next renewal forward, because a request to the store was lost. The reply tells
    /// whether the store was restored meanwhile, which a watch of a revision that was given out
    /// again does not.
    pub(super) fn renew_early(&mut self, now: Instant) {
        self.next_request_at = self.next_request_at.min(now + Self::RETRY_DELAY);
    }

    /// Makes the next request due, as a sign whether the store answers. A failure still delays it.
    pub(super) fn renew_now(&mut self, now: Instant) {
        if !self.is_failing {
            self.next_request_at = self.next_request_at.min(now);
        }
    }

    /// Writes the entry again under a new lease, because it was removed although the node is alive.
    pub(super) fn entry_removed(&mut self, now: Instant) {
        if let State::EntryWritten(_) = self.state {
            self.state = State::NoLease;
            self.next_request_at = now;
        }
    }
}
