//! The deadline of a call.

use crate::units::{Instant, Micros, Millis};

/// The time after which the caller no longer waits for the answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// The longest time that any call may take.
    pub const MAX_TIMEOUT: Millis = Millis::new(600_000);

    /// Creates the deadline of a call that arrives at `now`. The call gets the time `requested`,
    /// but at most `limit` and [`Self::MAX_TIMEOUT`], which also apply if no time is requested.
    pub fn new(now: Instant, requested: Option<Millis>, limit: Millis) -> Self {
        let limit = limit.min(Self::MAX_TIMEOUT);
        Self(now + requested.map_or(limit, |requested| requested.min(limit)))
    }

    /// Returns the time left at `now`; zero if the deadline has passed.
    pub const fn remaining(self, now: Instant) -> Micros {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed at `now`.
    pub fn has_passed(self, now: Instant) -> bool {
        self.0 <= now
    }

    /// Returns the deadline on the clock of this node.
    pub const fn at(self) -> Instant {
        self.0
    }

    /// Returns the deadline for the next hop. It is earlier by a tenth of the time left, at most
    /// 10 ms, so that the next hop's verdict arrives while this hop still waits.
    pub fn for_next_hop(self, now: Instant) -> Self {
        const MAX_MARGIN_MICROS: u64 = 10_000;
        let remaining = self.remaining(now).get();
        Self(now + Micros::new(remaining - (remaining / 10).min(MAX_MARGIN_MICROS)))
    }
}
