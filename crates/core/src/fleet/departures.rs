//! Backend servers that have left the fleet.

use std::collections::BTreeMap;

use crate::ids::BackendId;
use crate::units::{Instant, Millis, UnixMillis};

/// A start of a backend server that has left, or has begun to leave.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Departure {
    /// The id that the server announced.
    pub id: BackendId,
    /// When the server started; `None` if unknown, which stands for every start with the id.
    pub started_at: Option<UnixMillis>,
}

/// The backend servers that have left, as far as this node or others know.
///
/// All nodes remember departures for each other: a node that restarts would otherwise accept a late
/// announcement and send calls to a server that has left.
#[derive(Debug, Default)]
pub struct Departures {
    known: BTreeMap<BackendId, (Option<UnixMillis>, Instant)>,
}

impl Departures {
    /// How long a departure is remembered: longer than a server runs on after it, and than an
    /// announcement may be delayed.
    pub const RETENTION: Millis = Millis::new(60_000);
    /// How long a departure is sent to other nodes after this node has recorded it.
    const ANNOUNCEMENT_TIME: Millis = Millis::new(3_000);
    /// The largest number of departures that are remembered. Bounds the memory of a node.
    const MAX_DEPARTURES: usize = 512;

    /// Records a departure. Returns whether it is new.
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

    /// Returns whether the start of the server `id` at `started_at` has left.
    pub fn has_left(&self, id: &BackendId, started_at: UnixMillis) -> bool {
        self.known.get(id).is_some_and(|(left, _)| left.is_none_or(|left| started_at <= left))
    }

    /// Returns the departures to send to other nodes: recent ones, or all if `include_old`, which a
    /// node that has just started needs.
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

    /// Forgets departures older than [`Self::RETENTION`].
    pub fn tick(&mut self, now: Instant) {
        self.known.retain(|_, (_, recorded_at)| now.since(*recorded_at) < Self::RETENTION.into());
    }
}
