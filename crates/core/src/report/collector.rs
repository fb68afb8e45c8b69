//! The records of a data centre's nodes on their way to the store.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::control::Backoff;
use crate::ids::{DataCentre, NodeId, WriteId};
use crate::report::hour_write::{HourWrite, WriteStep};
use crate::report::{AccountingRecord, Hour, HourKey, HourSums, Minute};
use crate::store::{StoreReply, StoreRequest};
use crate::units::{Instant, Millis, UnixMillis};

/// The time after a minute's end at which its sums are written. Records are sent
/// within 3 s of the minute's end by clocks that differ by 500 ms.
pub const MINUTE_WRITE_DELAY: Millis = Millis::new(10_000);
/// Number of hours before the present one whose sums are kept while the store is
/// down; those of earlier ones are dropped and then missing.
pub const MAX_BUFFERED_HOURS: u64 = 2;
/// Number of minutes after its own within which a record is taken.
pub const MAX_RECORD_AGE_MINUTES: u64 = 5;
/// The first and the longest bound of the time between attempts to write.
const INITIAL_BACKOFF: Millis = Millis::new(500);
const MAX_BACKOFF: Millis = Millis::new(30_000);

/// The records of a data centre's nodes on their way to the store.
#[derive(Debug, Clone)]
pub struct Collector {
    data_centre: DataCentre,
    /// What is to be written. No hour is older than [`MAX_BUFFERED_HOURS`].
    hours: BTreeMap<Hour, HourSums>,
    /// The nodes whose records were taken, of the last [`MAX_RECORD_AGE_MINUTES`]
    /// minutes: a record counts once.
    counted_nodes: BTreeMap<Minute, BTreeSet<NodeId>>,
    /// The data centre's nodes that were alive when a minute began, or when this
    /// process started in it, as far as kept.
    live_nodes: BTreeMap<Minute, BTreeSet<NodeId>>,
    /// The minute that was under way when sums were last made ready to be written.
    last_due_minute: Minute,
    /// Whether `hours` is to be written.
    is_write_due: bool,
    /// The part being written; it is not in `hours`, so it is added once.
    write: Option<HourWrite>,
    /// Whether a request of `write` is under way.
    is_request_pending: bool,
    next_attempt: Instant,
    backoff: Backoff,
}

impl Collector {
    /// A collector for the nodes of `data_centre` that starts at `wall`.
    pub fn new(data_centre: DataCentre, wall: UnixMillis) -> Self {
        Self {
            data_centre,
            hours: BTreeMap::new(),
            counted_nodes: BTreeMap::new(),
            live_nodes: BTreeMap::new(),
            last_due_minute: Minute::at(wall),
            is_write_due: false,
            write: None,
            is_request_pending: false,
            next_attempt: Instant::default(),
            backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
        }
    }

    /// Takes a record, while `alive` nodes of the data centre are alive; returns
    /// whether it counts.
    pub fn take(&mut self, record: &AccountingRecord, alive: u64, wall: UnixMillis) -> bool {
        let (minute, now) = (record.minute, Minute::at(wall));
        let is_in_time = now.since(minute) <= MAX_RECORD_AGE_MINUTES && minute.since(now) == 0;
        if !is_in_time || !self.counted_nodes.entry(minute).or_default().insert(record.node.clone())
        {
            return false;
        }
        let hour = self.hours.entry(Hour::of(minute)).or_default();
        let nodes = hour.minutes.entry(minute).or_default();
        nodes.received += u64::from(record.covers_minute);
        let mut sums = record.sums.clone();
        sums.changes.values_mut().for_each(|change| change.expected = alive);
        hour.sums.add(&sums);
        true
    }

    /// Notes the time. `alive` gives the data centre's nodes that are alive;
    /// `is_collector` says whether records are to be sent to this node. Each is
    /// asked once a minute.
    pub fn tick(
        &mut self,
        wall: UnixMillis,
        is_collector: impl FnOnce() -> bool,
        alive: impl FnOnce() -> BTreeSet<NodeId>,
    ) {
        let minute = Minute::at(wall);
        if self.live_nodes.last_key_value().is_none_or(|(last, _)| *last < minute) {
            self.live_nodes.insert(minute, alive());
            let oldest = Minute::new(minute.get().saturating_sub(MAX_RECORD_AGE_MINUTES));
            self.live_nodes = self.live_nodes.split_off(&oldest);
            self.counted_nodes = self.counted_nodes.split_off(&oldest);
            self.drop_old_hours(minute);
        }
        if minute > self.last_due_minute && wall >= minute.start() + MINUTE_WRITE_DELAY {
            self.last_due_minute = minute;
            self.is_write_due = true;
            if is_collector() {
                self.set_expected(Minute::new(minute.get() - 1));
            }
        }
    }

    /// Makes what is collected ready to be written at once, before the process ends.
    pub const fn flush(&mut self) {
        self.is_write_due = true;
    }

    /// The next request to the store if it is time for one.
    pub fn poll(&mut self, now: Instant, rng: &mut impl Rng) -> Option<StoreRequest> {
        if self.is_request_pending || now < self.next_attempt {
            return None;
        }
        if self.write.is_none() && self.is_write_due {
            match self.hours.pop_first() {
                Some((hour, part)) => {
                    let key = HourKey { data_centre: self.data_centre.clone(), hour };
                    self.write = Some(HourWrite::new(key, part, WriteId::new(rng.random())));
                }
                None => self.is_write_due = false,
            }
        }
        let request = self.write.as_ref().map(HourWrite::begin);
        self.is_request_pending = request.is_some();
        request
    }

    /// Takes the reply to the last request; returns the request that follows.
    pub fn reply(
        &mut self,
        reply: StoreReply,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<StoreRequest> {
        self.is_request_pending = false;
        match self.write.as_ref()?.reply(reply) {
            WriteStep::Send(request) => {
                self.is_request_pending = true;
                return Some(request);
            }
            WriteStep::Retry => self.next_attempt = now + self.backoff.draw(rng),
            WriteStep::Done | WriteStep::Unreadable => {
                self.write = None;
                self.backoff.reset();
            }
        }
        None
    }

    /// Notes which nodes were to send a record of `minute`: those alive at its
    /// start or its end, so that one that died in between is missed.
    fn set_expected(&mut self, minute: Minute) {
        let next = Minute::new(minute.get() + 1);
        let live_nodes = [minute, next].into_iter().filter_map(|m| self.live_nodes.get(&m));
        let nodes: BTreeSet<&NodeId> = live_nodes.flatten().collect();
        let expected = nodes.len() as u64;
        let hour = self.hours.entry(Hour::of(minute)).or_default();
        hour.minutes.entry(minute).or_default().expected = expected;
    }

    fn drop_old_hours(&mut self, minute: Minute) {
        let oldest = Hour::new(Hour::of(minute).get().saturating_sub(MAX_BUFFERED_HOURS));
        self.hours = self.hours.split_off(&oldest);
        // A request under way ends first: its reply belongs to this write.
        if !self.is_request_pending
            && self.write.as_ref().is_some_and(|write| write.key.hour < oldest)
        {
            self.write = None;
        }
    }
}
