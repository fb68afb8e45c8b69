//! The evacuation orders that a node knows.

use std::collections::BTreeMap;

use crate::fleet::{EvacuationDigest, EvacuationNotice, TrafficRamp};
use crate::ids::DataCentre;
use crate::store::StorePosition;
use crate::units::Instant;

/// The evacuation orders and withdrawals that a node knows, from the store or from other nodes.
///
/// For each data centre the notice with the latest position counts, whichever way and in whichever
/// order notices arrive, so nodes that know the same notices agree. A withdrawal is remembered, so
/// that an earlier order that arrives late has no effect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// At most [`Self::MAX_KNOWN`] entries.
    known: BTreeMap<DataCentre, KnownEvacuation>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownEvacuation {
    is_ordered: bool,
    position: StorePosition,
    ramp: TrafficRamp,
    learned_at: Instant,
    /// Whether it was checked that the data centre has nodes.
    is_checked: bool,
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationOutcome {
    /// The evacuation of the data centre began or ended.
    Changed,
    /// The notice is newer than what was known and says the same.
    Confirmed,
    /// A notice with the same or a later position is known.
    Outdated,
    /// Too many data centres are evacuated, and the notice is not followed.
    TooMany,
}

impl Evacuations {
    /// The largest number of data centres whose orders or withdrawals are known. Bounds memory and
    /// heartbeats if the store holds orders with made-up names.
    pub const MAX_KNOWN: usize = 64;

    /// Records a notice. Calls are moved gradually, unless the node is starting: then it has not
    /// sent any yet, and the order may be old.
    pub fn record(
        &mut self,
        now: Instant,
        notice: &EvacuationNotice,
        is_starting: bool,
    ) -> EvacuationOutcome {
        let EvacuationNotice { data_centre, is_ordered, position } = notice;
        let before = self.known.get(data_centre).copied();
        if before.is_some_and(|before| before.position >= *position) {
            return EvacuationOutcome::Outdated;
        }
        if before.is_none() && !self.make_room() {
            return EvacuationOutcome::TooMany;
        }
        let is_changed = before.is_some_and(|before| before.is_ordered) != *is_ordered;
        let ramp = self.ramp(data_centre);
        let ramp = match (is_changed, is_ordered) {
            (false, _) => ramp,
            (true, true) if is_starting => TrafficRamp::CLOSED,
            (true, true) => ramp.close(now),
            (true, false) => ramp.open(now),
        };
        let unchanged = before.filter(|_| !is_changed);
        let known = KnownEvacuation {
            is_ordered: *is_ordered,
            position: *position,
            ramp,
            learned_at: unchanged.map_or(now, |before| before.learned_at),
            is_checked: unchanged.is_some_and(|before| before.is_checked),
        };
        self.known.insert(data_centre.clone(), known);
        if is_changed { EvacuationOutcome::Changed } else { EvacuationOutcome::Confirmed }
    }

    /// Returns the share of calls that the servers of `data_centre` may take over time.
    pub fn ramp(&self, data_centre: &DataCentre) -> TrafficRamp {
        self.known.get(data_centre).map_or(TrafficRamp::OPEN, |known| known.ramp)
    }

    /// Returns whether the evacuation of `data_centre` is in force.
    pub fn is_ordered(&self, data_centre: &DataCentre) -> bool {
        self.known.get(data_centre).is_some_and(|known| known.is_ordered)
    }

    /// Returns all known orders and withdrawals, to tell other nodes of them; `None` if there were
    /// none.
    pub fn digest(&self) -> Option<EvacuationDigest> {
        let notice = |(data_centre, known): (&DataCentre, &KnownEvacuation)| EvacuationNotice {
            data_centre: data_centre.clone(),
            is_ordered: known.is_ordered,
            position: known.position,
        };
        let notices: Vec<EvacuationNotice> = self.known.iter().map(notice).collect();
        (!notices.is_empty()).then_some(EvacuationDigest { notices })
    }

    /// Returns the data centres whose orders took effect by `now` and were not returned before, to
    /// check that they have nodes.
    pub fn take_unchecked(&mut self, now: Instant) -> Vec<DataCentre> {
        let mut unchecked = Vec::new();
        for (data_centre, known) in &mut self.known {
            let is_due = known.learned_at + TrafficRamp::DURATION <= now;
            if known.is_ordered && !known.is_checked && is_due {
                known.is_checked = true;
                unchecked.push(data_centre.clone());
            }
        }
        unchecked
    }

    /// Makes room for a further data centre by forgetting the oldest withdrawal. Returns false if
    /// all data centres are evacuated.
    fn make_room(&mut self) -> bool {
        if self.known.len() < Self::MAX_KNOWN {
            return true;
        }
        let withdrawn = self.known.iter().filter(|(_, known)| !known.is_ordered);
        let oldest = withdrawn.min_by_key(|(_, known)| known.position);
        let Some(oldest) = oldest.map(|(data_centre, _)| data_centre.clone()) else { return false };
        self.known.remove(&oldest).is_some()
    }
}
