//! Waiting calls in order of rank and fair share, which are refused by their value.

use std::collections::{BTreeMap, HashMap};

use crate::RefusalReason;
use crate::fleet::demand::Demand;
use crate::fleet::fair_share::VirtualTime;
use crate::fleet::kind_ratios::KindRatios;
use crate::fleet::planned_call::PlannedCall;
use crate::fleet::precedence::Precedence;
use crate::fleet::retry_spread::RetrySpread;
use crate::fleet::server_slots::ServerSlots;
use crate::fleet::service_ratios::ServiceRatios;
use crate::fleet::waiting_call::WaitingCall;
use crate::fleet::{
    Admission, CallQueue, CallRank, CallRequirements, CallValue, FairShare, QueueTicket,
    QueueWakeup, ShareHolder,
};
use crate::units::{Instant, Micros, Millis};

/// Orders waiting calls by precedence, then by the fair shares of their teams, then by target.
///
/// At each event it plans when each waiting call starts. A call that can't meet its deadline by
/// that plan is refused at once. So is one that would be late while calls of its rank or a better
/// one offer more work than the slots can do: others could be in time in its place. A new call
/// delays the calls after it in the order, so the least urgent calls are refused first.
#[derive(Debug, Default)]
pub(super) struct ValueQueue {
    /// Whether calls without a team are made by running calls.
    has_teams: bool,
    waiting: BTreeMap<QueueTicket, WaitingCall>,
    shares: FairShare,
    demand: Demand,
    ratios: ServiceRatios,
    /// The ratios of the routes' calls that go by their rank.
    ranked_kinds: KindRatios,
    /// The ratios of the routes' calls that exceed what their team usually needs.
    surplus_kinds: KindRatios,
    spread: RetrySpread,
    /// The refusals of waiting calls that have not been returned yet.
    displaced: Vec<QueueWakeup>,
    /// The time of the last event.
    now: Instant,
}

impl ValueQueue {
    /// The work offered by a precedence and better ones, relative to what the slots can do, above
    /// which late calls are refused: there are enough calls that can be in time.
    const MAX_PRESSURE: f64 = 1.15;
    /// A wait up to this fraction of the target latency is allowed even if the call will be late,
    /// so that a server slower than the target still serves.
    const SHORT_WAIT_FRACTION: f64 = 0.08;
    /// A wait up to this counts as short whatever the target latency.
    const NEGLIGIBLE_WAIT: Millis = Millis::new(20);
    /// A call gives way to another of its precedence that is worth this many times as much for each
    /// second of slot time.
    const DISPLACING_FACTOR: f64 = 1.25;
    /// A team exceeds its fair share if it is ahead of others by more than this many calls.
    const SHARE_SLACK_CALLS: u64 = 2;

    pub(super) fn new(has_teams: bool) -> Self {
        Self { has_teams, ..Self::default() }
    }

    /// Sets whether calls without a team are made by running calls.
    pub(super) const fn set_has_teams(&mut self, has_teams: bool) {
        self.has_teams = has_teams;
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Records a call that arrives, whatever becomes of it.
    pub(super) fn record_arrival(
        &mut self,
        now: Instant,
        server: &ServerSlots,
        call: &CallRequirements,
    ) {
        self.now = now;
        let holder = ShareHolder::of(call);
        let precedence = self.precedence(now, server, &holder, call);
        let work = server.expected_run_time(&call.route);
        self.demand.record_arrival(now, server.slots, &holder, precedence, work);
    }

    /// Records that a call gets a slot without having waited.
    pub(super) fn record_start(
        &mut self,
        now: Instant,
        server: &ServerSlots,
        call: &CallRequirements,
    ) {
        let holder = ShareHolder::of(call);
        let tag = self.shares.start_tag(call.rank, &holder);
        let precedence = self.precedence(now, server, &holder, call);
        self.start(now, server, call, holder, precedence, tag);
    }

    /// Decides whether a call that finds no free slot waits or is refused. Waiting calls may have
    /// to give way to it; [`Self::take_displaced`] returns them.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        server: &ServerSlots,
        ticket: QueueTicket,
        requirements: CallRequirements,
    ) -> Admission {
        self.waiting.insert(ticket, WaitingCall::new(ticket, requirements));
        let plan = self.plan(now, server, None);
        let refused = self.refused_on_arrival(now, server, &plan, ticket);
        let mut refusals: Vec<_> = refusals(&plan).filter(|(other, _)| *other != ticket).collect();
        match refused {
            Ok(victim) => refusals.extend(victim.map(|victim| (victim, RefusalReason::Displaced))),
            // The plan of the others holds without the call.
            Err(reason) => {
                let refused = self.refuse(now, server, ticket, reason);
                let (reason, retry_after) = refused.unwrap_or((reason, Micros::new(0)));
                return Admission::Refused { reason, retry_after };
            }
        }
        self.displace(now, server, &refusals);
        Admission::Wait(ticket)
    }

    /// Adds a call that waited under another policy.
    pub(super) fn readmit(&mut self, ticket: QueueTicket, requirements: CallRequirements) {
        self.waiting.insert(ticket, WaitingCall::new(ticket, requirements));
    }

    /// Removes a waiting call. Returns false if it no longer waits.
    pub(super) fn cancel(&mut self, ticket: QueueTicket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Removes all waiting calls and returns them.
    pub(super) fn take_all(&mut self) -> Vec<(QueueTicket, CallRequirements)> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        waiting.map(|(ticket, call)| (ticket, call.requirements)).collect()
    }

    /// Returns the refusals of waiting calls since the last time.
    pub(super) fn take_displaced(&mut self) -> Vec<QueueWakeup> {
        std::mem::take(&mut self.displaced)
    }

    /// Removes the call whose turn it is, which runs or is refused because it would miss its
    /// deadline.
    pub(super) fn pop(&mut self, now: Instant, server: &ServerSlots) -> Option<QueueWakeup> {
        let plan = self.plan(now, server, None);
        let next = plan.first()?;
        let (ticket, precedence) = (next.ticket(), next.precedence);
        if next.value_at(now).is_hopeless() {
            let refused = self.refuse(now, server, ticket, RefusalReason::DeadlineTooNear);
            return Some(QueueWakeup { ticket, refused });
        }
        let rank = precedence.shared_rank();
        let same_rank =
            |call: &&PlannedCall<'_>| rank.is_some() && call.precedence.shared_rank() == rank;
        let lowest_tag = plan.iter().filter(same_rank).map(|call| call.tag).min().unwrap_or(0);
        let call = self.waiting.remove(&ticket)?;
        self.start(now, server, &call.requirements, call.holder, precedence, lowest_tag);
        Some(QueueWakeup { ticket, refused: None })
    }

    /// Refuses the waiting calls that can't meet their deadlines, and late ones that others
    /// displace.
    pub(super) fn refuse_hopeless(&mut self, now: Instant, server: &ServerSlots) {
        self.now = now;
        let refusals: Vec<_> = refusals(&self.plan(now, server, None)).collect();
        self.displace(now, server, &refusals);
    }

    /// Returns the waiting calls in the order in which they are expected to run.
    pub(super) fn in_order(
        &self,
        now: Instant,
        server: &ServerSlots,
    ) -> Vec<(QueueTicket, &CallRequirements)> {
        let plan = self.plan(now, server, None).into_iter();
        plan.map(|PlannedCall { call, .. }| (call.ticket, &call.requirements)).collect()
    }

    /// Returns the number of waiting calls that run before a new call with `requirements`.
    pub(super) fn calls_ahead(
        &self,
        server: &ServerSlots,
        requirements: &CallRequirements,
        next_ticket: QueueTicket,
    ) -> usize {
        if self.waiting.is_empty() {
            return 0;
        }
        let new = WaitingCall::new(next_ticket, requirements.clone());
        let plan = self.plan(self.now, server, Some(&new));
        plan.iter().take_while(|call| call.ticket() != next_ticket).count()
    }

    /// Returns the number of teams that are counted separately.
    pub(super) fn accounts(&self) -> usize {
        self.demand.len().max(self.shares.accounts())
    }

    /// Returns whether the call `ticket`, which just arrived, is refused, or else the waiting call
    /// that gives way to it.
    fn refused_on_arrival(
        &self,
        now: Instant,
        server: &ServerSlots,
        plan: &[PlannedCall<'_>],
        ticket: QueueTicket,
    ) -> Result<Option<QueueTicket>, RefusalReason> {
        let is_new = |call: &&PlannedCall<'_>| call.ticket() == ticket;
        let Some(new) = plan.iter().find(is_new) else { return Ok(None) };
        if new.value.is_hopeless() {
            return Err(RefusalReason::DeadlineTooNear);
        }
        let is_full = self.waiting.len() > CallQueue::MAX_WAITING;
        let waits = self.should_wait(now, server, plan, new);
        if waits && !is_full {
            return Ok(None);
        }
        let victim = plan
            .iter()
            .filter(|call| call.ticket() != ticket && call.refusal.is_none())
            .filter(|call| waits || makes_room(now, server, call, new))
            .max_by(|a, b| self.refusal_order(server, a, b));
        match victim {
            Some(victim) if !waits || self.refusal_order(server, victim, new).is_gt() => {
                Ok(Some(victim.ticket()))
            }
            _ if is_full => Err(RefusalReason::QueueFull),
            _ => Err(RefusalReason::DeadlineTooNear),
        }
    }

    /// Returns whether `call` is worth waiting at its place in the plan.
    fn should_wait(
        &self,
        now: Instant,
        server: &ServerSlots,
        plan: &[PlannedCall<'_>],
        call: &PlannedCall<'_>,
    ) -> bool {
        let is_next = plan.first().is_some_and(|first| first.ticket() == call.ticket());
        let requirements = &call.call.requirements;
        let pressure = self.demand.pressure(now, server.slots, call.precedence);
        let is_pressed = pressure > Self::MAX_PRESSURE;
        let is_overserved = self.kinds(call.precedence).is_overserved(now, requirements);
        if is_pressed && is_overserved && call.precedence != Precedence::Underserved {
            return false;
        }
        let target_latency = Micros::from(requirements.target_latency);
        call.value.is_likely_in_time()
            || is_next
            || call.precedence == Precedence::Underserved
            || is_short_wait(call)
            || (call.precedence == Precedence::MadeByRunningCall && call.wait <= target_latency)
            || !is_pressed
    }

    /// Compares two calls by which of them is refused first: rank goes first, then whether the team
    /// exceeds its fair share, then the value of a second of slot time. The greater one is refused.
    fn refusal_order(
        &self,
        server: &ServerSlots,
        a: &PlannedCall<'_>,
        b: &PlannedCall<'_>,
    ) -> std::cmp::Ordering {
        let exceeds_share = |call: &PlannedCall<'_>| {
            let slack = Self::SHARE_SLACK_CALLS * server.mean_run_time().get();
            let rank = call.precedence.shared_rank();
            rank.is_some_and(|rank| call.tag > self.shares.virtual_time(rank) + slack)
        };
        let order = a.precedence.cmp(&b.precedence);
        order
            .then_with(|| exceeds_share(a).cmp(&exceeds_share(b)))
            .then_with(|| b.value.per_second().total_cmp(&a.value.per_second()))
            .then_with(|| a.ticket().cmp(&b.ticket()))
    }

    /// Returns the waiting calls and `new` in the order in which they are expected to run, with the
    /// refusals that this suggests. Calls to be refused take no time from those after them.
    fn plan<'a>(
        &'a self,
        now: Instant,
        server: &ServerSlots,
        new: Option<&'a WaitingCall>,
    ) -> Vec<PlannedCall<'a>> {
        let calls = self.waiting.values().chain(new);
        let mut plan: Vec<_> = calls.map(|call| self.place(now, server, call)).collect();
        self.set_tags(&mut plan);
        plan.sort_unstable_by_key(PlannedCall::order);
        let mut work = 0;
        for same in plan.chunk_by_mut(|a, b| a.precedence == b.precedence) {
            let precedence = same[0].precedence;
            let free_fraction = 1.0 - self.demand.overtaking(now, server.slots, precedence);
            let pressure = self.demand.pressure(now, server.slots, precedence);
            for call in same {
                let wait = server.time_until_free(Micros::new(work)).get() as f64 / free_fraction;
                call.wait = Micros::new(wait as u64);
                call.value = call.value_at(now + call.wait);
                call.refusal = refusal(call, work == 0, pressure > Self::MAX_PRESSURE);
                work += if call.refusal.is_none() { call.run_time.get() } else { 0 };
            }
        }
        plan
    }

    /// Returns `call` at the front of the queue.
    fn place<'a>(
        &self,
        now: Instant,
        server: &ServerSlots,
        call: &'a WaitingCall,
    ) -> PlannedCall<'a> {
        let requirements = &call.requirements;
        let run_time = server.expected_run_time(&requirements.route);
        PlannedCall {
            call,
            precedence: self.precedence(now, server, &call.holder, requirements),
            tag: 0,
            is_late: now + run_time > requirements.target,
            run_time,
            wait: Micros::new(0),
            value: CallValue::new(now, run_time, requirements.target, requirements.deadline),
            refusal: None,
        }
    }

    /// Sets the virtual times at which the calls start, each after the earlier ones of its holder.
    fn set_tags(&self, plan: &mut [PlannedCall<'_>]) {
        plan.sort_unstable_by_key(PlannedCall::order);
        let mut next_tags: HashMap<(CallRank, &ShareHolder), VirtualTime> = HashMap::new();
        for call in plan {
            let Some(rank) = call.precedence.shared_rank() else { continue };
            let holder = &call.call.holder;
            let next = next_tags
                .entry((rank, holder))
                .or_insert_with(|| self.shares.start_tag(rank, holder));
            call.tag = *next;
            *next += call.run_time.get();
        }
    }

    fn precedence(
        &self,
        now: Instant,
        server: &ServerSlots,
        holder: &ShareHolder,
        call: &CallRequirements,
    ) -> Precedence {
        if self.ratios.is_underserved(now, call) {
            return Precedence::Underserved;
        }
        let is_made = self.is_made(call);
        let is_surplus = match is_made {
            true => self.demand.exceeds_made_fraction(now),
            false => self.demand.is_surplus(now, server.slots, holder),
        };
        match (is_made, is_surplus) {
            (_, true) => Precedence::Surplus(call.rank),
            (true, false) => Precedence::MadeByRunningCall,
            (false, false) => Precedence::Ranked(call.rank),
        }
    }

    /// Counts a call that gets a slot. `lowest_tag` is the lowest virtual time at which a waiting
    /// call of its rank starts.
    fn start(
        &mut self,
        now: Instant,
        server: &ServerSlots,
        call: &CallRequirements,
        holder: ShareHolder,
        precedence: Precedence,
        lowest_tag: VirtualTime,
    ) {
        self.now = now;
        let work = server.expected_run_time(&call.route);
        self.record_end_of_wait(now, call, precedence, true);
        self.demand.record_start(now, &holder, precedence, work);
        self.shares.record_start(call.rank, holder, work, lowest_tag);
    }

    /// Counts a call that gets a slot or is refused.
    fn record_end_of_wait(
        &mut self,
        now: Instant,
        call: &CallRequirements,
        precedence: Precedence,
        is_served: bool,
    ) {
        self.ratios.record(now, call, is_served);
        if self.is_made(call) {
            return;
        }
        match precedence {
            Precedence::Surplus(_) => self.surplus_kinds.record(now, call, is_served),
            _ => self.ranked_kinds.record(now, call, is_served),
        }
    }

    /// Returns whether a running call made `call`.
    const fn is_made(&self, call: &CallRequirements) -> bool {
        self.has_teams && call.team.is_none()
    }

    /// Returns the ratios of the routes' calls that compete with those of `precedence`.
    const fn kinds(&self, precedence: Precedence) -> &KindRatios {
        match precedence {
            Precedence::Surplus(_) => &self.surplus_kinds,
            _ => &self.ranked_kinds,
        }
    }

    /// Refuses waiting calls, which [`Self::take_displaced`] then returns.
    fn displace(
        &mut self,
        now: Instant,
        server: &ServerSlots,
        refusals: &[(QueueTicket, RefusalReason)],
    ) {
        for &(ticket, reason) in refusals {
            let refused = self.refuse(now, server, ticket, reason);
            self.displaced.push(QueueWakeup { ticket, refused });
        }
    }

    /// Removes a call that is refused for `reason`. Returns the refusal with the time after which
    /// to retry; `None` if the call doesn't wait.
    fn refuse(
        &mut self,
        now: Instant,
        server: &ServerSlots,
        ticket: QueueTicket,
        reason: RefusalReason,
    ) -> Option<(RefusalReason, Micros)> {
        let call = self.waiting.remove(&ticket)?;
        self.now = now;
        let precedence = self.precedence(now, server, &call.holder, &call.requirements);
        self.record_end_of_wait(now, &call.requirements, precedence, false);
        let waiting = self.waiting.values().map(|call| &call.requirements.route);
        let work = waiting.map(|route| server.expected_run_time(route).get()).sum();
        let drain_time = server.time_until_free(Micros::new(work));
        let run_time = server.expected_run_time(&call.requirements.route);
        Some((reason, self.spread.retry_after(now, server.slots, drain_time, run_time)))
    }
}

/// Returns the calls of `plan` that should not wait any longer.
fn refusals(plan: &[PlannedCall<'_>]) -> impl Iterator<Item = (QueueTicket, RefusalReason)> {
    plan.iter().filter_map(|call| Some((call.ticket(), call.refusal?)))
}

/// Returns why a waiting call should not wait any longer; `None` if it should. `is_next` means that
/// it gets the next free slot, and `is_pressed` that there are enough calls that can be in time.
fn refusal(call: &PlannedCall<'_>, is_next: bool, is_pressed: bool) -> Option<RefusalReason> {
    if call.value.is_hopeless() {
        return Some(RefusalReason::DeadlineTooNear);
    }
    let is_kept = is_next
        || !is_pressed
        || !call.value.is_late()
        || call.precedence <= Precedence::MadeByRunningCall
        || is_short_wait(call);
    (!is_kept).then_some(RefusalReason::Displaced)
}

/// Returns whether the wait of `call` is short whatever its target.
fn is_short_wait(call: &PlannedCall<'_>) -> bool {
    let target_latency = Micros::from(call.call.requirements.target_latency).get() as f64;
    call.wait <= ValueQueue::NEGLIGIBLE_WAIT.into()
        || call.wait.get() as f64 <= ValueQueue::SHORT_WAIT_FRACTION * target_latency
}

/// Returns whether refusing `victim` lets `new`, which is worth more for the same slot time, be in
/// time.
fn makes_room(
    now: Instant,
    server: &ServerSlots,
    victim: &PlannedCall<'_>,
    new: &PlannedCall<'_>,
) -> bool {
    let is_ahead = victim.precedence == new.precedence && victim.order() < new.order();
    let gained = victim.run_time.get() / u64::from(server.slots.max(1));
    let start = now + Micros::new(new.wait.get().saturating_sub(gained));
    let value = new.value_at(start);
    is_ahead
        && value.is_likely_in_time()
        && value.per_second() > ValueQueue::DISPLACING_FACTOR * victim.value.per_second()
}
