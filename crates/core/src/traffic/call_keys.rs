//! The idempotency keys that a registrar holds.

use std::collections::{HashMap, VecDeque};

use crate::ids::{CallKey, NodeId, ServiceName};
use crate::traffic::{CallId, ClaimAnswer};
use crate::units::{Instant, Micros, Millis};

/// The claims of idempotency keys at one registrar.
///
/// A key belongs to the first call that claims it, until it is released or expires.
#[derive(Debug)]
pub struct CallKeys {
    started: Instant,
    /// At most [`Self::MAX_KEYS`] claims.
    claims: HashMap<(ServiceName, CallKey), Claim>,
    /// The claims in the order of `at`. An entry whose claim was released or taken over has
    /// no effect. At most twice [`Self::MAX_KEYS`] entries.
    order: VecDeque<(Instant, ServiceName, CallKey)>,
}

#[derive(Debug)]
struct Claim {
    call: CallId,
    holder: NodeId,
    at: Instant,
}

impl CallKeys {
    /// How long a key is kept after it was claimed.
    pub const RETENTION: Millis = Millis::new(600_000);
    /// The largest number of keys held. Further claims are refused: dropping a
    /// key before its time would let a repeat run.
    pub const MAX_KEYS: usize = 65_536;

    /// A registrar that started at `now` and holds no key.
    pub fn new(now: Instant) -> Self {
        Self { started: now, claims: HashMap::new(), order: VecDeque::new() }
    }

    /// Claims `key` for `call`, which `holder` is about to run.
    ///
    /// A later attempt of the same call takes the claim over: the entry node sends
    /// one only after a verdict that the earlier attempt was not run.
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
                return ClaimAnswer::Granted { sure: self.is_sure(now) };
            }
            None => {}
        }
        if self.claims.len() >= Self::MAX_KEYS || self.order.len() >= 2 * Self::MAX_KEYS {
            return ClaimAnswer::Full;
        }
        self.order.push_back((now, id.0.clone(), id.1.clone()));
        self.claims.insert(id, Claim { call, holder: holder.clone(), at: now });
        ClaimAnswer::Granted { sure: self.is_sure(now) }
    }

    /// Releases the claim of `call`, which was not run. Claims of other calls stay.
    pub fn release(&mut self, service: &ServiceName, key: &CallKey, call: CallId, holder: &NodeId) {
        let id = (service.clone(), key.clone());
        if self.claims.get(&id).is_some_and(|c| c.call == call && c.holder == *holder) {
            self.claims.remove(&id);
        }
    }

    /// The number of keys held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn is_sure(&self, now: Instant) -> bool {
        now.since(self.started) > Micros::from(Self::RETENTION)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, _, _)) = self.order.front()
            && now.since(*at) > Micros::from(Self::RETENTION)
        {
            let Some((at, service, key)) = self.order.pop_front() else { break };
            let id = (service, key);
            if self.claims.get(&id).is_some_and(|claim| claim.at == at) {
                self.claims.remove(&id);
            }
        }
    }
}
