//! The values and leases of the store, without HTTP.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{LeaseId, PutOutcome, Revision};

/// The largest size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The values and leases of the store; the caller supplies the time.
#[derive(Debug, Default)]
pub struct KeyValues {
    values: BTreeMap<String, Value>,
    leases: BTreeMap<LeaseId, Lease>,
    /// The revision of the last write to any key.
    last_revision: Revision,
    /// Number of leases granted so far, which is also the id of the last one.
    granted_leases: u64,
}

#[derive(Debug)]
struct Value {
    bytes: Bytes,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

impl KeyValues {
    /// Returns the value of `key` with its revision, or `None` if the key is absent.
    pub fn get(&self, key: &str) -> Option<(Bytes, Revision)> {
        self.values.get(key).map(|value| (value.bytes.clone(), value.revision))
    }

    /// Returns the revision of `key`, or [`Revision::NONE`] if the key is absent.
    pub fn revision(&self, key: &str) -> Revision {
        self.values.get(key).map_or(Revision::NONE, |value| value.revision)
    }

    /// Writes `bytes` if the current revision is `expected`, the size is within
    /// [`MAX_VALUE_BYTES`] and the lease, if any, is still valid.
    pub fn put(
        &mut self,
        key: &str,
        bytes: Bytes,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> PutOutcome {
        let current = self.revision(key);
        if bytes.len() > MAX_VALUE_BYTES {
            PutOutcome::TooLarge
        } else if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            PutOutcome::NoLease
        } else if current != expected {
            PutOutcome::Conflict(current)
        } else {
            PutOutcome::Written(self.set(key, bytes, lease))
        }
    }

    /// Writes `bytes` unconditionally and returns the new revision.
    pub fn set(&mut self, key: &str, bytes: Bytes, lease: Option<LeaseId>) -> Revision {
        self.last_revision = self.last_revision.next();
        let revision = self.last_revision;
        self.values.insert(key.to_owned(), Value { bytes, revision, lease });
        revision
    }

    /// Grants a lease that expires at `now + ttl` unless it is renewed.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.granted_leases += 1;
        let id = LeaseId::new(self.granted_leases);
        self.leases.insert(id, Lease { ttl, expires: now + ttl });
        id
    }

    /// Extends a lease to `now` plus its original duration; returns false if it doesn't exist.
    pub fn renew(&mut self, now: Instant, id: LeaseId) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and deletes the keys bound to it; returns false if it doesn't exist.
    pub fn revoke(&mut self, id: LeaseId) -> bool {
        self.values.retain(|_, value| value.lease != Some(id));
        self.leases.remove(&id).is_some()
    }

    /// Ends the leases that have expired by `now`; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_expired = |lease: &Lease| lease.expires <= now;
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, lease)| is_expired(lease)).map(|(id, _)| *id).collect();
        expired.iter().filter(|id| self.revoke(**id)).count() > 0
    }

    /// Returns the time at which the next lease expires, or `None` without leases.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires).min()
    }
}
