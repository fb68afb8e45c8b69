//! The gradual change of the share of calls that a data centre may take.

use crate::units::{Instant, Micros, Millis, PerMille};

/// The share of its usual calls that a data centre may take, which changes gradually when its
/// evacuation is ordered or withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficRamp {
    /// When the ramp began.
    begun: Instant,
    /// The share at that time.
    from: PerMille,
    /// Whether the share falls to zero; otherwise it rises to the whole.
    is_closing: bool,
}

impl TrafficRamp {
    /// The time in which the whole of the calls is moved. A node learns of an order within 2 s of
    /// its acknowledgement, so that no call arrives 4 s after it, of the 5 s that are allowed.
    pub const DURATION: Millis = Millis::new(2_000);
    /// The ramp of a data centre that takes all its calls.
    pub const OPEN: Self = Self { begun: Instant::new(0), from: PerMille::MAX, is_closing: false };
    /// The ramp of a data centre that takes no calls.
    pub const CLOSED: Self =
        Self { begun: Instant::new(0), from: PerMille::ZERO, is_closing: true };

    /// Returns the share of calls at `now`.
    pub fn share(&self, now: Instant) -> PerMille {
        let whole = u64::from(PerMille::MAX.get());
        let elapsed = now.since(self.begun).get();
        let moved = elapsed.saturating_mul(whole) / Micros::from(Self::DURATION).get();
        let from = u64::from(self.from.get());
        let share = if self.is_closing {
            from.saturating_sub(moved)
        } else {
            from.saturating_add(moved).min(whole)
        };
        u16::try_from(share).ok().and_then(PerMille::new).unwrap_or(PerMille::MAX)
    }

    /// Returns whether no calls may be taken at `now`.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.share(now) == PerMille::ZERO
    }

    /// Returns the ramp that falls from the share at `now`.
    #[must_use]
    pub fn close(&self, now: Instant) -> Self {
        Self { begun: now, from: self.share(now), is_closing: true }
    }

    /// Returns the ramp that rises from the share at `now`.
    #[must_use]
    pub fn open(&self, now: Instant) -> Self {
        Self { begun: now, from: self.share(now), is_closing: false }
    }
}

impl Default for TrafficRamp {
    fn default() -> Self {
        Self::OPEN
    }
}
