//! The claims of idempotency keys that a registrar holds.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::{CallKey, NodeId, ServiceName};
use crate::traffic::{CallId, ClaimAnswer, HandoverClaim};
use crate::units::{Instant, Micros, Millis};

/// The claims of idempotency keys at one registrar.
///
/// A key belongs to the first call that claims it, until it is released or expires.
#[derive(Debug)]
pub struct KeyClaims {
    /// The time since which this registrar has lost no claim: its start, or the last time that it
    /// couldn't take a claim over.
    complete_since: Instant,
    /// The current claims by service and key, at most [`Self::MAX_KEYS`].
    claims: HashMap<(ServiceName, CallKey), Claim>,
    /// The expiry time and number of each claim, soonest first.
    expiry: BTreeSet<(Instant, u64)>,
    /// The key of each claim, by the number of the claim.
    by_number: BTreeMap<u64, (ServiceName, CallKey)>,
    /// The number of the next claim. Numbers are never reused.
    next_number: u64,
}

#[derive(Debug)]
struct Claim {
    call: CallId,
    holder: NodeId,
    expires: Instant,
    number: u64,
}

impl KeyClaims {
    /// The time for which a key is kept after it was first claimed.
    pub const RETENTION: Millis = Millis::new(600_000);
    /// The largest number of keys held. Further claims are refused, since dropping a key early
    /// would let a repeat of its call run.
    pub const MAX_KEYS: usize = 65_536;

    /// Creates a registrar that starts at `now` without keys.
    pub fn new(now: Instant) -> Self {
        Self {
            complete_since: now,
            claims: HashMap::new(),
            expiry: BTreeSet::new(),
            by_number: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Claims `key` for `call`, which `holder` is about to run.
    ///
    /// A later attempt of the same call takes the claim over, as the entry node sends one only
    /// after a verdict that the earlier attempt wasn't run.
    pub fn claim(
        &mut self,
        now: Instant,
        service: &ServiceName,
        key: &CallKey,
        call: CallId,
        holder: &NodeId,
    ) -> ClaimAnswer {
        self.expire(now);
        let id = (service.clone(), key.clone());
        match self.claims.get_mut(&id) {
            Some(claim) if claim.call != call => {
                return ClaimAnswer::Held { holder: claim.holder.clone() };
            }
            Some(claim) => {
                claim.holder = holder.clone();
                return ClaimAnswer::Granted { is_certain: self.is_complete(now) };
            }
            None => {}
        }
        if self.claims.len() >= Self::MAX_KEYS {
            return ClaimAnswer::Full;
        }
        self.insert(id, call, holder.clone(), now + Self::RETENTION);
        ClaimAnswer::Granted { is_certain: self.is_complete(now) }
    }

    /// Releases the claim of `call`, which was not run at `holder`. Other claims stay.
    pub fn release(&mut self, service: &ServiceName, key: &CallKey, call: CallId, holder: &NodeId) {
        let id = (service.clone(), key.clone());
        if self.claims.get(&id).is_some_and(|c| c.call == call && c.holder == *holder) {
            self.remove(&id);
        }
    }

    /// Returns at most `limit` claims with numbers from `number` on, and the number from which the
    /// next batch continues.
    pub fn claims_from(
        &mut self,
        now: Instant,
        number: u64,
        limit: usize,
    ) -> (Vec<HandoverClaim>, u64) {
        self.expire(now);
        let mut next_number = number;
        let mut claims = Vec::new();
        for (number, id) in self.by_number.range(number..).take(limit) {
            next_number = number + 1;
            claims.extend(self.claims.get(id).map(|claim| HandoverClaim {
                service: id.0.clone(),
                key: id.1.clone(),
                call: claim.call,
                holder: claim.holder.clone(),
                remaining: claim.expires.since(now),
            }));
        }
        (claims, next_number)
    }

    /// Takes a claim over from a leaving registrar, unless the key is already claimed.
    ///
    /// If the registrar is full, the claim is lost, and unknown keys are not reported as certainly
    /// unused until the claim would have expired.
    pub fn take_over(&mut self, now: Instant, claim: HandoverClaim) {
        self.expire(now);
        let id = (claim.service, claim.key);
        if self.claims.contains_key(&id) {
            return;
        }
        if self.claims.len() >= Self::MAX_KEYS {
            self.complete_since = now;
            return;
        }
        let remaining = claim.remaining.min(Micros::from(Self::RETENTION));
        self.insert(id, claim.call, claim.holder, now + remaining);
    }

    /// Returns the number of claimed keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn is_complete(&self, now: Instant) -> bool {
        now.since(self.complete_since) > Micros::from(Self::RETENTION)
    }

    fn insert(
        &mut self,
        id: (ServiceName, CallKey),
        call: CallId,
        holder: NodeId,
        expires: Instant,
    ) {
        let number = self.next_number;
        self.next_number += 1;
        self.expiry.insert((expires, number));
        self.by_number.insert(number, id.clone());
        self.claims.insert(id, Claim { call, holder, expires, number });
    }

    fn remove(&mut self, id: &(ServiceName, CallKey)) {
        if let Some(claim) = self.claims.remove(id) {
            self.expiry.remove(&(claim.expires, claim.number));
            self.by_number.remove(&claim.number);
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((expires, number)) = self.expiry.first().copied()
            && now > expires
        {
            self.expiry.remove(&(expires, number));
            if let Some(id) = self.by_number.remove(&number) {
                self.claims.remove(&id);
            }
        }
    }
}
