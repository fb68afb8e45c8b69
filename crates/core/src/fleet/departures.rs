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
    /// The largest number of departures that are remembered. Bounds the memory of a node; beyond it
    /// the oldest ones are forgotten.
    const MAX_DEPARTURES: usize = 4_096;
    /// The largest number of departures in a heartbeat. Several nodes tell a node that has just
    /// started, each of other departures at first.
    const MAX_ANNOUNCED: usize = 32;

    /// Records a departure. Returns whether it is new.
    pub fn record(&mut self, now: Instant, departure: &Departure) -> bool {
        let known = self.known.get(&departure.id).map(|(started_at, _)| *started_at);
        if known.is_some_and(|started_at| started_at >= departure.started_at) {
            return false;
        }
        self.known.insert(departure.id.clone(), (departure.started_at, now));
        if self.known.len() > Self::MAX_DEPARTURES {
            let oldest = self.known.iter().min_by_key(|(_, (_, recorded_at))| *recorded_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.known.remove(&oldest);
            }
        }
        true
    }

    /// Returns whether the start of the server `id` at `started_at` has left.
    pub fn has_left(&self, id: &BackendId, started_at: UnixMillis) -> bool {
        self.known.get(id).is_some_and(|(left, _)| left.is_none_or(|left| started_at <= left))
    }

    /// Returns departures to send to other nodes: recent ones, or all if `include_old`, which a
    /// node that has just started needs. Those that don't fit into a heartbeat follow in the next
    /// `turn`s.
    pub fn to_announce(&self, now: Instant, include_old: bool, turn: u64) -> Vec<Departure> {
        let is_announced = |recorded_at: Instant| {
            include_old || now.since(recorded_at) < Self::ANNOUNCEMENT_TIME.into()
        };
        let announced = self.known.iter().filter(|(_, (_, at))| is_announced(*at));
        let announced: Vec<(&BackendId, Option<UnixMillis>)> =
            announced.map(|(id, (started_at, _))| (id, *started_at)).collect();
        let parts = announced.len().div_ceil(Self::MAX_ANNOUNCED).max(1);
        let part = usize::try_from(turn % parts as u64).unwrap_or_default();
        let in_part = announced.iter().skip(part * Self::MAX_ANNOUNCED).take(Self::MAX_ANNOUNCED);
        let departure = |(id, started_at): &(&BackendId, Option<UnixMillis>)| Departure {
            id: (*id).clone(),
            started_at: *started_at,
        };
        in_part.map(departure).collect()
    }

    /// Forgets departures older than [`Self::RETENTION`].
    pub fn tick(&mut self, now: Instant) {
        self.known.retain(|_, (_, recorded_at)| now.since(*recorded_at) < Self::RETENTION.into());
    }
}
