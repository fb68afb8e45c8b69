//! Writes the departures of backend servers to the store.

use crate::fleet::{Departure, Departures, FleetChange, LeaseId, StoreRequest, StoreWrite};
use crate::ids::BackendId;
use crate::units::{Instant, Micros, Millis};

/// Writes the departures of the servers beside a node to the store, where they outlive all nodes.
///
/// Each departure is an item of its own, under a lease that nobody renews. A restart of the node or
/// the end of its entry's lease doesn't remove it, and no node has to remove it later.
#[derive(Debug, Default)]
pub(super) struct DepartureRecords {
    /// The departures of the last [`Departures::RETENTION`], oldest first, one for each server.
    known: Vec<DepartureRecord>,
    /// The lease for the next write, and when it was opened.
    lease: Option<(LeaseId, Instant)>,
    /// No request is sent before this instant. Earlier requests may still wait for their answers.
    next_request_at: Instant,
}

#[derive(Debug)]
struct DepartureRecord {
    departure: Departure,
    noticed_at: Instant,
    /// Whether the store has acknowledged the departure and has not lost it since, as far as this
    /// node knows.
    is_written: bool,
    is_reported_written: bool,
    is_reported_late: bool,
}

impl DepartureRecords {
    /// How long a lease may have been open before a write that uses it.
    const MAX_LEASE_AGE: Millis = Millis::new(5_000);
    /// How long a departure stays in the store.
    const TTL: Millis = Millis::new(Departures::RETENTION.get() + Self::MAX_LEASE_AGE.get());
    /// The shortest time between two requests. A request without an answer doesn't hold up the next
    /// one, so that a departure is written soon after the store answers again.
    const MIN_INTERVAL: Millis = Millis::new(300);
    /// The time between two requests is the time since the oldest unwritten departure divided by this,
    /// so that a long outage of the store costs few requests.
    const INTERVAL_DIVISOR: u64 = 4;
    /// How long the acknowledgement of a departure waits for the store. The server's call ends after
    /// a second, and new calls end at the notice in any case.
    const ACKNOWLEDGEMENT_WAIT: Millis = Millis::new(700);
    /// The largest number of departures in a write.
    const MAX_WRITTEN: usize = 16;

    /// Adds a departure that the store must keep, unless it is known.
    pub(super) fn add(&mut self, now: Instant, departure: Departure) {
        let is_known = |known: &DepartureRecord| {
            known.departure.id == departure.id && known.departure.started_at >= departure.started_at
        };
        if self.known.iter().any(is_known) {
            return;
        }
        self.known.retain(|known| known.departure.id != departure.id);
        self.known.push(DepartureRecord {
            departure,
            noticed_at: now,
            is_written: false,
            is_reported_written: false,
            is_reported_late: false,
        });
    }

    /// Returns whether the departure of the server `id` may be acknowledged.
    pub(super) fn may_acknowledge(&self, now: Instant, id: &BackendId) -> bool {
        let is_waiting = |known: &DepartureRecord| {
            known.departure.id == *id && !known.is_written && !known.is_overdue(now)
        };
        !self.known.iter().any(is_waiting)
    }

    /// Returns what has become of departures since the last call: the store has recorded them, or
    /// not in time.
    pub(super) fn take_changes(&mut self, now: Instant) -> Vec<FleetChange> {
        self.known.iter_mut().filter_map(|known| known.take_change(now)).collect()
    }

    /// Returns the next request if it is due at `now`.
    pub(super) fn request(&mut self, now: Instant) -> Option<StoreRequest> {
        self.known.retain(|known| now.since(known.noticed_at) < Departures::RETENTION.into());
        let oldest = self.unwritten().next()?.noticed_at;
        if now < self.next_request_at {
            return None;
        }
        let interval = now.since(oldest).get() / Self::INTERVAL_DIVISOR;
        self.next_request_at = now + Micros::new(interval).max(Self::MIN_INTERVAL.into());
        let is_fresh = |(_, opened_at): &(LeaseId, Instant)| {
            now.since(*opened_at) < Self::MAX_LEASE_AGE.into()
        };
        self.lease = self.lease.filter(is_fresh);
        Some(match self.lease {
            None => StoreRequest::OpenLease(Self::TTL),
            Some((lease, _)) => {
                let departures = self.unwritten().map(|known| known.departure.clone());
                let departures = departures.take(Self::MAX_WRITTEN).collect();
                StoreRequest::Write(StoreWrite::Departures(departures, lease))
            }
        })
    }

    /// Records that a lease was opened by a request that was sent at `sent`.
    pub(super) fn lease_opened(&mut self, now: Instant, sent: Instant, lease: LeaseId) {
        self.lease = Some((lease, sent));
        self.next_request_at = now;
    }

    /// Records that the store has none of the leases that it gave out.
    pub(super) fn lease_lost(&mut self, now: Instant) {
        self.lease = None;
        self.next_request_at = now;
    }

    /// Records that a write of `departures` took effect.
    pub(super) fn written(&mut self, now: Instant, departures: &[Departure]) {
        let is_among = |known: &&mut DepartureRecord| departures.contains(&known.departure);
        self.known.iter_mut().filter(is_among).for_each(|known| known.is_written = true);
        self.next_request_at = now;
    }

    /// Writes the departure of the server `id` again, because the store lost it.
    pub(super) fn item_removed(&mut self, now: Instant, id: &BackendId) {
        let is_of_server = |known: &&mut DepartureRecord| known.departure.id == *id;
        for known in self.known.iter_mut().filter(is_of_server) {
            known.is_written = false;
            // The lease may be gone as well.
            self.lease = None;
            self.next_request_at = now;
        }
    }

    /// Writes all departures again, because the store was restored from a copy or has lost other
    /// items of this node.
    pub(super) fn restart(&mut self, now: Instant) {
        self.known.iter_mut().for_each(|known| known.is_written = false);
        self.lease_lost(now);
    }

    fn unwritten(&self) -> impl Iterator<Item = &DepartureRecord> {
        self.known.iter().filter(|known| !known.is_written)
    }
}

impl DepartureRecord {
    fn is_overdue(&self, now: Instant) -> bool {
        now.since(self.noticed_at) >= DepartureRecords::ACKNOWLEDGEMENT_WAIT.into()
    }

    fn take_change(&mut self, now: Instant) -> Option<FleetChange> {
        let id = self.departure.id.clone();
        if self.is_written && !self.is_reported_written {
            self.is_reported_written = true;
            return Some(FleetChange::DepartureRecorded { id, took: now.since(self.noticed_at) });
        }
        if !self.is_written && self.is_overdue(now) && !self.is_reported_late {
            self.is_reported_late = true;
            return Some(FleetChange::DepartureUnrecorded(id));
        }
        None
    }
}
