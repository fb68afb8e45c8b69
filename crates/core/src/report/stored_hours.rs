//! The sums of many data centres and hours as read from the store.

use std::collections::BTreeMap;

use crate::config::ServerVersion;
use crate::ids::{ConfigVersion, DataCentre};
use crate::report::{ChangeSums, Hour, HourKey, HourSums, Minute, Sums};
use crate::units::{Millis, UnixMillis};

/// The amount of missing data in a period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gaps {
    /// The number of records that collectors expected.
    pub expected_records: u64,
    /// The number of expected records that are missing or cover only a part of their minute.
    pub missing_records: u64,
    /// The number of minutes of the period, counted once for each data centre.
    pub minutes: u64,
    /// The number of `minutes` for which no expected records are known.
    pub missing_minutes: u64,
}

impl Gaps {
    /// Returns whether no record and no minute is missing.
    pub const fn is_empty(&self) -> bool {
        self.missing_records == 0 && self.missing_minutes == 0
    }
}

/// The sums of many data centres and hours as read from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredHours {
    /// The hours found in the store, with an entry for every known data centre.
    data_centres: BTreeMap<DataCentre, BTreeMap<Hour, HourSums>>,
}

impl StoredHours {
    /// Creates an empty set of hours for `data_centres`.
    pub fn new(data_centres: impl IntoIterator<Item = DataCentre>) -> Self {
        Self { data_centres: data_centres.into_iter().map(|dc| (dc, BTreeMap::new())).collect() }
    }

    /// Returns the known data centres in the order of their names.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.data_centres.keys()
    }

    /// Adds the sums read from the store under `key`.
    pub fn insert(&mut self, key: HourKey, sums: HourSums) {
        self.data_centres.entry(key.data_centre).or_default().insert(key.hour, sums);
    }

    /// Returns the sums over all hours and data centres.
    pub fn total(&self) -> Sums {
        let mut total = Sums::default();
        self.hours().for_each(|(_, hour)| total.add(&hour.sums));
        total
    }

    /// Returns the amount of missing data from `from` up to but not including `to`.
    pub fn gaps(&self, from: Minute, to: Minute) -> Gaps {
        let mut gaps = Gaps::default();
        for hours in self.data_centres.values() {
            gaps.minutes += to.since(from);
            let minutes = hours.values().flat_map(|hour| hour.minutes.range(from..to.max(from)));
            // Without a number of expected nodes, a minute with records is a gap too.
            let known: Vec<_> = minutes.filter(|(_, nodes)| nodes.expected > 0).collect();
            gaps.missing_minutes += to.since(from).saturating_sub(known.len() as u64);
            gaps.expected_records += known.iter().map(|(_, n)| n.expected).sum::<u64>();
            gaps.missing_records += known.iter().map(|(_, n)| n.missing()).sum::<u64>();
        }
        gaps
    }

    /// Returns the number of calls that backend servers of `version` ran for a rollout from
    /// `started` to `ended`. Counts are summed up by the hour, from that of `started` on.
    ///
    /// Returns `None` if some counts are missing or `started` is before `first`, the first hour
    /// that was read.
    pub fn new_version_calls(
        &self,
        version: &ServerVersion,
        (started, ended): (UnixMillis, UnixMillis),
        first: Hour,
    ) -> Option<u64> {
        let from = Hour::at(started);
        let to = Minute::new(Minute::at(ended).get() + 1);
        if from < first || !self.gaps(Minute::at(started), to).is_empty() {
            return None;
        }
        let hours = self.hours().filter(|(hour, _)| *hour >= from);
        Some(hours.filter_map(|(_, hour)| hour.sums.new_version_calls.get(version)).sum())
    }

    /// Returns, for each change, the time until it was in force on every node of every data
    /// centre; `None` if the report of a node is missing.
    pub fn changes(&self) -> BTreeMap<ConfigVersion, (ChangeSums, Option<Millis>)> {
        let mut changes: BTreeMap<ConfigVersion, (ChangeSums, usize)> = BTreeMap::new();
        for hours in self.data_centres.values() {
            let mut sums = Sums::default();
            hours.values().for_each(|hour| sums.add(&hour.sums));
            for (version, change) in sums.changes {
                let is_complete = usize::from(change.is_complete());
                changes
                    .entry(version)
                    .and_modify(|(all, complete)| {
                        all.add(&change);
                        *complete += is_complete;
                    })
                    .or_insert((change, is_complete));
            }
        }
        let all = self.data_centres.len();
        let time = |(sums, complete): (ChangeSums, usize)| {
            let time = (complete == all).then_some(sums.longest);
            (sums, time)
        };
        changes.into_iter().map(|(version, change)| (version, time(change))).collect()
    }

    fn hours(&self) -> impl Iterator<Item = (Hour, &HourSums)> {
        self.data_centres.values().flatten().map(|(hour, sums)| (*hour, sums))
    }
}
