//! The token requests and the balance of one team at a node.

use std::net::SocketAddr;

use super::balance::Balance;
use super::demand::Demand;
use super::{
    GrantProblem, QuotaCall, QuotaDecision, QuotaGrant, QuotaMembers, QuotaNode, TokenBucket,
    TokenCount,
};
use crate::fleet::Quota;
use crate::ids::{QuotaRequestId, TeamName};
use crate::units::{Instant, Micros};

/// The token requests and the balance of one team at a node.
#[derive(Debug)]
pub(super) struct TeamRequests {
    team: TeamName,
    demand: Demand,
    balance: Balance,
    /// The number of calls that wait for a token.
    waiting: u32,
    /// The requests that may still be answered, oldest first.
    pending: Vec<Pending>,
    /// Calls are refused until then, because the owner has no tokens.
    denied_until: Instant,
    /// The owner and its deputy, by the members of `members_version`.
    keepers: Vec<QuotaNode>,
    members_version: Option<u64>,
    /// Since when the owner has not answered; `None` if it has answered the last request.
    unanswered_since: Option<Instant>,
    /// When a request was last sent to the owner.
    last_asked: Instant,
    /// The deputy has no tokens until then.
    exhausted_until: Instant,
    /// Fills while the owner doesn't answer.
    local_share: Option<TokenBucket>,
}

/// A request that may still be answered.
#[derive(Debug, Clone, Copy)]
struct Pending {
    id: QuotaRequestId,
    to: SocketAddr,
    sent: Instant,
    wanted: TokenCount,
}

impl TeamRequests {
    /// The time after which a request or its answer counts as lost.
    const ANSWER_TIME: Micros = Micros::new(40_000);
    /// How long the owner must have been silent before the deputy is asked: two requests.
    const DEPUTY_TIME: Micros = Micros::new(80_000);
    /// The time between two requests to an owner that doesn't answer.
    const PROBE_INTERVAL: Micros = Micros::new(300_000);
    /// An owner that was not asked for this long is asked as if it had answered.
    const SILENCE_RETENTION: Micros = Micros::new(2_000_000);
    /// How long a deputy without tokens is not asked again.
    const DEPUTY_PAUSE: Micros = Micros::new(100_000);
    /// The time for whose expected calls tokens are requested.
    const DEMAND_TIME: Micros = Micros::new(200_000);
    /// The smallest number of expected calls for which tokens are requested. Of fewer tokens many
    /// would expire, because calls don't arrive evenly.
    const MIN_PREFETCH: u32 = 4;
    /// How much longer than the owner counts this node the node waits before it uses its local
    /// share.
    const LOCAL_SHARE_MARGIN: Micros = Micros::new(100_000);
    /// The longest time that a caller is told to wait for the owner.
    const MAX_UNKNOWN_WAIT: Micros = Micros::new(1_000_000);

    pub(super) fn new(team: TeamName) -> Self {
        Self {
            team,
            demand: Demand::default(),
            balance: Balance::default(),
            waiting: 0,
            pending: Vec::new(),
            denied_until: Instant::default(),
            keepers: Vec::new(),
            members_version: None,
            unanswered_since: None,
            last_asked: Instant::default(),
            exhausted_until: Instant::default(),
            local_share: None,
        }
    }

    /// Decides on a call.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        quota: &Quota,
        call: QuotaCall,
        members: &QuotaMembers,
    ) -> QuotaDecision {
        self.update_keepers(members);
        self.check_pending(now);
        if !call.is_waiting {
            self.demand.record_call(now);
        }
        let decision = self.decide_by_state(now, quota, call, members);
        match (call.is_waiting, matches!(decision, QuotaDecision::Wait(_))) {
            (false, true) => self.waiting += 1,
            (true, false) => self.abandon(),
            _ => {}
        }
        decision
    }

    fn decide_by_state(
        &mut self,
        now: Instant,
        quota: &Quota,
        call: QuotaCall,
        members: &QuotaMembers,
    ) -> QuotaDecision {
        if let Some(expires) = self.balance.take(now) {
            return QuotaDecision::Granted(expires);
        }
        if self.denied_until > now {
            return QuotaDecision::Refused(self.denied_until.since(now));
        }
        let mut local_wait = None;
        if let Some(bucket) = self.local_share(now, quota, members) {
            if bucket.level(now) >= 1.0 {
                bucket.take(now, 1.0);
                return QuotaDecision::LocalShare;
            }
            local_wait = bucket.time_until_token(now);
        }
        let unknown_wait = local_wait.unwrap_or(Self::MAX_UNKNOWN_WAIT).min(Self::MAX_UNKNOWN_WAIT);
        if call.latest <= now || self.keepers.is_empty() || self.exhausted_until > now {
            return QuotaDecision::Unknown(unknown_wait);
        }
        let next_check = self.balance.next_usable().unwrap_or(now + Self::ANSWER_TIME);
        QuotaDecision::Wait(next_check.min(call.latest))
    }

    /// Returns where the next request goes and how many tokens it asks for; `None` if none is due.
    pub(super) fn next_request(
        &mut self,
        now: Instant,
        decision: QuotaDecision,
    ) -> Option<(SocketAddr, TokenCount)> {
        let expected = self.demand.expected(now, Self::DEMAND_TIME) as u32;
        let expected = if expected < Self::MIN_PREFETCH { 0 } else { expected };
        let held = self.balance.len(now);
        let needed = match decision {
            QuotaDecision::Wait(_) => self.waiting.saturating_add(expected),
            QuotaDecision::Granted(_) if held < expected.div_ceil(2) => expected,
            QuotaDecision::LocalShare | QuotaDecision::Unknown(_) => expected.max(1),
            QuotaDecision::Granted(_) | QuotaDecision::Refused(_) => 0,
        };
        let is_fresh = |pending: &&Pending| now < pending.sent + Self::ANSWER_TIME;
        let asked: u32 =
            self.pending.iter().filter(is_fresh).map(|pending| pending.wanted.get()).sum();
        let wanted = needed.saturating_sub(held).saturating_sub(asked);
        if wanted == 0 {
            return None;
        }
        Some((self.next_keeper(now)?, TokenCount::new(wanted).min(TokenCount::MAX)))
    }

    /// Returns the address of the owner, or of its deputy if the owner doesn't answer. The owner is
    /// asked from time to time nevertheless.
    fn next_keeper(&self, now: Instant) -> Option<SocketAddr> {
        let owner = self.keepers.first()?;
        let is_silent = self.unanswered_since.is_some_and(|since| now >= since + Self::DEPUTY_TIME);
        let is_probe = now >= self.last_asked + Self::PROBE_INTERVAL;
        if !is_silent || is_probe {
            return Some(owner.address);
        }
        let deputy = self.keepers.get(1).filter(|_| self.exhausted_until <= now)?;
        Some(deputy.address)
    }

    pub(super) fn record_request(
        &mut self,
        now: Instant,
        id: QuotaRequestId,
        to: SocketAddr,
        wanted: TokenCount,
    ) {
        if self.is_owner(to) {
            self.last_asked = now;
        }
        self.pending.push(Pending { id, to, sent: now, wanted });
    }

    pub(super) const fn abandon(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    pub(super) fn give_back(&mut self, now: Instant, expires: Instant) {
        self.balance.add(TokenCount::new(1), now, expires);
    }

    /// Records a grant that came from `from`.
    pub(super) fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        grant: &QuotaGrant,
    ) -> Result<(), GrantProblem> {
        self.check_pending(now);
        let i = self.pending.iter().position(|pending| pending.id == grant.id);
        let i = i.ok_or(GrantProblem::Unsolicited)?;
        let pending = self.pending[i];
        if pending.to != from {
            return Err(GrantProblem::WrongSender);
        }
        if !grant.is_kept() {
            self.record_not_kept(now, &pending);
            return Ok(());
        }
        self.pending.remove(i);
        if self.is_owner(from) {
            self.unanswered_since = None;
            self.local_share = None;
        }
        if grant.granted == TokenCount::default() {
            self.denied_until = now + grant.retry_after.min(QuotaGrant::MAX_RETRY_AFTER);
            return Ok(());
        }
        let lifetime = Micros::from(grant.expires.min(QuotaGrant::MAX_LIFETIME));
        let expires = pending.sent + grant.retry_after + lifetime;
        if grant.granted > pending.wanted || expires <= now {
            return Err(GrantProblem::OutOfRange);
        }
        self.balance.add(grant.granted, now + grant.retry_after, expires);
        Ok(())
    }

    fn record_not_kept(&mut self, now: Instant, pending: &Pending) {
        if self.is_owner(pending.to) {
            self.unanswered_since.get_or_insert(pending.sent);
        } else {
            self.exhausted_until = now + Self::DEPUTY_PAUSE;
        }
    }

    fn is_owner(&self, address: SocketAddr) -> bool {
        self.keepers.first().is_some_and(|owner| owner.address == address)
    }

    fn update_keepers(&mut self, members: &QuotaMembers) {
        if self.members_version == Some(members.version) {
            return;
        }
        self.members_version = Some(members.version);
        let keepers: Vec<QuotaNode> =
            members.keepers(self.team.as_str()).into_iter().cloned().collect();
        let owner = |keepers: &[QuotaNode]| keepers.first().map(|node| node.address);
        if owner(&keepers) != owner(&self.keepers) {
            self.unanswered_since = None;
            self.local_share = None;
            self.denied_until = Instant::default();
        }
        self.exhausted_until = Instant::default();
        self.keepers = keepers;
    }

    /// Notes whether the owner has left a request unanswered, and forgets requests whose tokens
    /// would have expired.
    fn check_pending(&mut self, now: Instant) {
        if now >= self.last_asked + Self::SILENCE_RETENTION {
            self.unanswered_since = None;
            self.local_share = None;
        }
        let is_recent = |pending: &Pending| now < pending.sent + QuotaGrant::MAX_LIFETIME;
        self.pending.retain(is_recent);
        let is_lost = |pending: &&Pending| {
            now >= pending.sent + Self::ANSWER_TIME && self.is_owner(pending.to)
        };
        if let Some(lost) = self.pending.iter().find(is_lost) {
            self.unanswered_since.get_or_insert(lost.sent);
        }
    }

    /// Returns the local share, if the owner counts this node no longer.
    fn local_share(
        &mut self,
        now: Instant,
        quota: &Quota,
        members: &QuotaMembers,
    ) -> Option<&mut TokenBucket> {
        let since = self.unanswered_since?;
        let counted_for = self.keepers.first()?.counted_for;
        if now < since + counted_for + Self::LOCAL_SHARE_MARGIN {
            return None;
        }
        let rate = quota.rate.per_second() / f64::from(members.known);
        Some(self.local_share.get_or_insert_with(|| TokenBucket::new(now, rate, 1.0, 0.0)))
    }
}
