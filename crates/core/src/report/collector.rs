//! The collector of a data centre's accounting records.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::control::Backoff;
use crate::ids::{DataCentre, NodeId, WriteId};
use crate::report::hour_write::{HourWrite, WriteStep};
use crate::report::{AccountingRecord, Hour, HourKey, HourSums, Minute};
use crate::store::{StoreReply, StoreRequest};
use crate::units::{Instant, Millis, UnixMillis};

/// Delay from the end of a minute until its sums are written. Nodes send their records
/// within 3 s of the minute's end, and their clocks differ by up to 500 ms.
pub const MINUTE_WRITE_DELAY: Millis = Millis::new(10_000);
/// Number of hours before the current one whose sums are kept while the store is
/// down. The sums of earlier hours are dropped and reported as missing.
pub const MAX_BUFFERED_HOURS: u64 = 2;
/// Maximum age in minutes of a record that is still counted.
pub const MAX_RECORD_AGE_MINUTES: u64 = 5;
/// Upper bound of the random delay after the first failed attempt to write.
const INITIAL_BACKOFF: Millis = Millis::new(500);
/// Maximum to which that bound grows with further failures.
const MAX_BACKOFF: Millis = Millis::new(30_000);

/// Sums up the accounting records of a data centre's nodes and writes the sums to the store.
///
/// Any node of the data centre may be the collector, and more than one may be at a time.
#[derive(Debug, Clone)]
pub struct Collector {
    data_centre: DataCentre,
    /// The sums that remain to be written, at most [`MAX_BUFFERED_HOURS`] old.
    hours: BTreeMap<Hour, HourSums>,
    /// The nodes whose records were counted in each of the last [`MAX_RECORD_AGE_MINUTES`]
    /// minutes, so that a repeated record is ignored.
    counted_nodes: BTreeMap<Minute, BTreeSet<NodeId>>,
    /// The data centre's nodes that were alive at the start of each of the last minutes,
    /// or at the start of this process.
    live_nodes: BTreeMap<Minute, BTreeSet<NodeId>>,
    /// The current minute when the sums of earlier ones last became due for writing.
    last_due_minute: Minute,
    /// Whether the sums in `hours` are due for writing.
    is_write_due: bool,
    /// The part being written. It is taken out of `hours`, so that it is added only once.
    write: Option<HourWrite>,
    /// Whether a store request of `write` awaits its reply.
    is_request_pending: bool,
    next_attempt: Instant,
    backoff: Backoff,
}

impl Collector {
    /// Creates a collector for the nodes of `data_centre` at the wall-clock time `wall`.
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

    /// Adds a record to the sums and returns whether it counts. Records that are repeated, too
    /// old or of a future minute don't. `alive` is the number of live nodes of the data centre.
    pub fn add_record(&mut self, record: &AccountingRecord, alive: u64, wall: UnixMillis) -> bool {
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

    /// Advances the wall-clock time. `alive` returns the live nodes of the data centre, and
    /// `is_collector` whether nodes send their records to this one. Each is called at most
    /// once a minute.
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

    /// Makes all collected sums due for writing, before the process ends.
    pub const fn flush(&mut self) {
        self.is_write_due = true;
    }

    /// Returns the next request to the store, or `None` if none is due or one is pending.
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

    /// Handles the reply to the pending request and returns the request that follows, if any.
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
            WriteStep::Retry => self.next_attempt = now + self.backoff.next_delay(rng),
            WriteStep::Done | WriteStep::Unreadable => {
                self.write = None;
                self.backoff.reset();
            }
        }
        None
    }

    /// Sets the number of nodes that must send a record of `minute`: those alive at its
    /// start or at its end, so that a node that died in between counts as missing.
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
        // While a request is pending the write stays, since the reply belongs to it.
        if !self.is_request_pending
            && self.write.as_ref().is_some_and(|write| write.key.hour < oldest)
        {
            self.write = None;
        }
    }
}
