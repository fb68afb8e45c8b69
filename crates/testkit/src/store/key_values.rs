//! The values and leases of the store, without input or output.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{LeaseId, PutOutcome, Revision};

/// Number of bytes that a value may have at most.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The values and leases of the store.
#[derive(Debug, Default)]
pub struct KeyValues {
    values: BTreeMap<String, Value>,
    leases: BTreeMap<LeaseId, Lease>,
    /// The revision of the newest write to any key.
    last_revision: Revision,
    /// How many leases were granted.
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
    /// The value of `key` with its revision.
    pub fn get(&self, key: &str) -> Option<(Bytes, Revision)> {
        self.values.get(key).map(|value| (value.bytes.clone(), value.revision))
    }

    /// The revision of `key`, [`Revision::NONE`] without a value.
    pub fn revision(&self, key: &str) -> Revision {
        self.values.get(key).map_or(Revision::NONE, |value| value.revision)
    }

    /// Writes `bytes` if the current revision is `expected`.
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

    /// Writes `bytes` whatever the current revision is.
    pub fn set(&mut self, key: &str, bytes: Bytes, lease: Option<LeaseId>) -> Revision {
        self.last_revision = self.last_revision.next();
        let revision = self.last_revision;
        self.values.insert(key.to_owned(), Value { bytes, revision, lease });
        revision
    }

    /// Grants a lease that lapses at `now + ttl` unless it is renewed.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.granted_leases += 1;
        let id = LeaseId::new(self.granted_leases);
        self.leases.insert(id, Lease { ttl, expires: now + ttl });
        id
    }

    /// Renews a lease; false if it has lapsed.
    pub fn renew(&mut self, now: Instant, id: LeaseId) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and deletes the keys bound to it; false if it has lapsed.
    pub fn revoke(&mut self, id: LeaseId) -> bool {
        self.values.retain(|_, value| value.lease != Some(id));
        self.leases.remove(&id).is_some()
    }

    /// Ends the leases that lapsed by `now`; true if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_expired = |lease: &Lease| lease.expires <= now;
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, lease)| is_expired(lease)).map(|(id, _)| *id).collect();
        expired.iter().filter(|id| self.revoke(**id)).count() > 0
    }

    /// When the next lease lapses.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires).min()
    }
}
