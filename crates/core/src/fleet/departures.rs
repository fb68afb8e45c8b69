//! The backend servers that have left.

use std::collections::BTreeMap;

use crate::ids::BackendId;
use crate::units::{Instant, Millis, UnixMillis};

/// A start of a backend server that has left, or has begun to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Departure {
    /// The server.
    pub id: BackendId,
    /// Its start; `None` if it did not tell.
    pub started_at: Option<UnixMillis>,
}

/// The backend servers that have left, as far as this node or others know.
///
/// All nodes remember them for each other: a node that was restarted in between would otherwise
/// accept a late announcement and send calls to a server that has left.
#[derive(Debug, Default)]
pub struct Departures {
    known: BTreeMap<BackendId, (Option<UnixMillis>, Instant)>,
}

impl Departures {
    /// How long a departure is remembered: longer than a server goes on after it and than an
    /// announcement may be late.
    pub const RETENTION: Millis = Millis::new(60_000);
    /// How long one is announced to other nodes after it was learned.
    const ANNOUNCEMENT_TIME: Millis = Millis::new(3_000);
    /// The largest number that is remembered.
    const MAX_DEPARTURES: usize = 512;

    /// Learns of a departure. Whether it is new.
    pub fn record(&mut self, now: Instant, departure: &Departure) -> bool {
        let known = self.known.get(&departure.id).map(|(started_at, _)| *started_at);
        if known.is_some_and(|started_at| started_at >= departure.started_at)
            || self.known.len() >= Self::MAX_DEPARTURES
        {
            return false;
        }
        self.known.insert(departure.id.clone(), (departure.started_at, now));
        true
    }

    /// Whether the start `started_at` of the server `id` has left.
    pub fn has_left(&self, id: &BackendId, started_at: UnixMillis) -> bool {
        self.known.get(id).is_some_and(|(left, _)| left.is_none_or(|left| started_at <= left))
    }

    /// The departures to announce to other nodes: those learned lately, or every one when a node
    /// may have started that knows none.
    pub fn to_announce(&self, now: Instant, include_old: bool) -> Vec<Departure> {
        let is_announced = |recorded_at: Instant| {
            include_old || now.since(recorded_at) < Self::ANNOUNCEMENT_TIME.into()
        };
        self.known
            .iter()
            .filter(|(_, (_, recorded_at))| is_announced(*recorded_at))
            .map(|(id, (started_at, _))| Departure { id: id.clone(), started_at: *started_at })
            .collect()
    }

    /// Forgets what is long past.
    pub fn tick(&mut self, now: Instant) {
        self.known.retain(|_, (_, recorded_at)| now.since(*recorded_at) < Self::RETENTION.into());
    }
}
