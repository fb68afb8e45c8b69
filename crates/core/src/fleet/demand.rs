//! The work that calls offer to a server, by team and by precedence.

use std::collections::{BTreeMap, HashMap};

use crate::fleet::decaying_sum::DecayingSum;
use crate::fleet::holder_demand::HolderDemand;
use crate::fleet::precedence::Precedence;
use crate::fleet::{FairShare, ShareHolder};
use crate::units::{Instant, Micros, Millis};

/// The work that calls offer to a server, by team and by precedence.
///
/// A team surges if its work, relative to that of the other teams, is far above the usual. Calls
/// beyond what it usually needs then give way to all others.
#[derive(Debug, Default)]
pub(super) struct Demand {
    holders: HashMap<ShareHolder, HolderDemand>,
    total: HolderDemand,
    precedences: BTreeMap<Precedence, PrecedenceDemand>,
    /// When the first call arrived.
    began_at: Option<Instant>,
}

/// The work of the calls of one precedence, in microseconds.
#[derive(Debug, Default, Clone, Copy)]
struct PrecedenceDemand {
    offered: DecayingSum,
    started: DecayingSum,
}

impl Demand {
    /// A team surges if it offers more than this multiple of its usual work.
    const SURGE_FACTOR: f64 = 2.5;
    /// The calls of a surging team keep their precedence up to this multiple of its usual work.
    const USUAL_MARGIN: f64 = 1.5;
    /// A team that takes less than this fraction of the slots doesn't surge: it harms others
    /// little, and a few calls that arrive together aren't a trend.
    const HARMLESS_FRACTION: f64 = 0.1;
    /// The weight of a surging team's work in what is usual, so that a lasting increase becomes
    /// usual after a while.
    const SURGE_WEIGHT: f64 = 0.1;
    /// The time from the first call until teams are compared with their usual work.
    const LEARNING_TIME: Millis = Millis::new(5_000);
    /// The fraction of the started work beyond which calls made by running calls lose precedence,
    /// so that a flood of them leaves slots to others.
    const MADE_FRACTION: f64 = 0.7;
    /// Work below this in a decayed sum, in microseconds, no longer counts.
    const NEGLIGIBLE_WORK: f64 = 1_000.0;
    /// The number of precedences above which those without recent calls are forgotten.
    const MAX_PRECEDENCES: usize = 64;
    /// The largest fraction of the slots that calls of better precedence are expected to take.
    const MAX_OVERTAKING: f64 = 0.9;

    /// Records a call that arrives with the expected run time `work`.
    pub(super) fn record_arrival(
        &mut self,
        now: Instant,
        slots: u32,
        holder: &ShareHolder,
        precedence: Precedence,
        work: Micros,
    ) {
        self.began_at.get_or_insert(now);
        let weight = if self.is_surging(now, slots, holder) { Self::SURGE_WEIGHT } else { 1.0 };
        self.total.record_arrival(now, work, weight);
        self.account(now, holder).record_arrival(now, work, weight);
        let time = HolderDemand::RECENT_TIME.into();
        self.precedence(now, precedence).offered.add(now, time, work.get() as f64);
    }

    /// Records that a call with the expected run time `work` got a slot.
    pub(super) fn record_start(
        &mut self,
        now: Instant,
        holder: &ShareHolder,
        precedence: Precedence,
        work: Micros,
    ) {
        let time = HolderDemand::RECENT_TIME.into();
        self.total.record_start(now, work);
        self.account(now, holder).record_start(now, work);
        self.precedence(now, precedence).started.add(now, time, work.get() as f64);
    }

    /// Returns whether a further call of `holder` is beyond what it usually needs while it surges.
    pub(super) fn is_surplus(&self, now: Instant, slots: u32, holder: &ShareHolder) -> bool {
        let Some(demand) = self.holders.get(holder) else { return false };
        let usual = Self::USUAL_MARGIN * self.usual_now(now, demand);
        self.is_surging(now, slots, holder)
            && demand.started(now) > usual.max(Self::harmless(slots))
    }

    /// Returns whether calls without a team exceed [`Self::MADE_FRACTION`] of the started work.
    pub(super) fn exceeds_made_fraction(&self, now: Instant) -> bool {
        let made = self.holders.get(&ShareHolder::NoTeam).map_or(0.0, |demand| demand.started(now));
        made > Self::MADE_FRACTION * self.total.started(now)
    }

    /// Returns the fraction of `slots` that calls of a better precedence than `precedence` are
    /// expected to take.
    pub(super) fn overtaking(&self, now: Instant, slots: u32, precedence: Precedence) -> f64 {
        let sums = self.precedences.range(..precedence).map(|(_, demand)| &demand.started);
        Self::fraction_of(now, slots, sums).min(Self::MAX_OVERTAKING)
    }

    /// Returns the offered work of calls of `precedence` or a better one relative to what the slots
    /// can do.
    pub(super) fn pressure(&self, now: Instant, slots: u32, precedence: Precedence) -> f64 {
        let sums = self.precedences.range(..=precedence).map(|(_, demand)| &demand.offered);
        Self::fraction_of(now, slots, sums)
    }

    /// Returns the number of teams that are counted separately.
    pub(super) fn len(&self) -> usize {
        self.holders.len()
    }

    fn is_surging(&self, now: Instant, slots: u32, holder: &ShareHolder) -> bool {
        let has_learned =
            self.began_at.is_some_and(|at| now.since(at) >= Self::LEARNING_TIME.into());
        let Some(demand) = self.holders.get(holder).filter(|_| has_learned) else { return false };
        let limit = Self::SURGE_FACTOR * self.usual_now(now, demand);
        demand.recent(now) > limit.max(Self::harmless(slots))
    }

    /// Returns the usual work of a team, scaled to the present work of the others: if all teams
    /// offer more, none of them surges.
    fn usual_now(&self, now: Instant, demand: &HolderDemand) -> f64 {
        let others_usual = self.total.usual(now) - demand.usual(now);
        let others_now = self.total.recent(now) - demand.recent(now);
        let negligible = Self::NEGLIGIBLE_WORK;
        demand.usual(now) * others_now.max(0.0) / others_usual.max(negligible)
    }

    /// Returns the recent work of a team that takes `HARMLESS_FRACTION` of the slots.
    fn harmless(slots: u32) -> f64 {
        Self::HARMLESS_FRACTION * Self::capacity(slots)
    }

    fn fraction_of<'a>(
        now: Instant,
        slots: u32,
        sums: impl Iterator<Item = &'a DecayingSum>,
    ) -> f64 {
        let work: f64 = sums.map(|sum| sum.at(now, HolderDemand::RECENT_TIME.into())).sum();
        work / Self::capacity(slots)
    }

    /// Returns the work, in microseconds, that `slots` can do within [`HolderDemand::RECENT_TIME`].
    fn capacity(slots: u32) -> f64 {
        f64::from(slots.max(1)) * Micros::from(HolderDemand::RECENT_TIME).get() as f64
    }

    /// Returns the account of `precedence`. Forgets precedences without recent calls if there are
    /// too many.
    fn precedence(&mut self, now: Instant, precedence: Precedence) -> &mut PrecedenceDemand {
        if self.precedences.len() >= Self::MAX_PRECEDENCES {
            let time = HolderDemand::RECENT_TIME.into();
            self.precedences.retain(|_, demand| {
                demand.offered.at(now, time) + demand.started.at(now, time) > Self::NEGLIGIBLE_WORK
            });
        }
        self.precedences.entry(precedence).or_default()
    }

    /// Returns the account of `holder`, or that of [`ShareHolder::Others`] if there is no room.
    fn account(&mut self, now: Instant, holder: &ShareHolder) -> &mut HolderDemand {
        if !self.holders.contains_key(holder) && self.holders.len() >= FairShare::MAX_ACCOUNTS {
            self.holders.retain(|_, demand| demand.usual(now) > Self::NEGLIGIBLE_WORK);
        }
        let is_full = self.holders.len() >= FairShare::MAX_ACCOUNTS;
        let holder = match self.holders.contains_key(holder) || !is_full {
            true => holder.clone(),
            false => ShareHolder::Others,
        };
        self.holders.entry(holder).or_default()
    }
}
