//! How exactly quotas are kept.

use crate::units::{Millis, PerMille};

/// The limits within which the calls of a team may exceed its quota: in each `window`, the calls that
/// arrive at backend servers stay below (rate × `window` + burst) × (1 + `overage`) + `tolerance`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaSettings {
    /// The time over which calls are counted.
    pub window: Millis,
    /// The share by which the quota may be exceeded.
    pub overage: PerMille,
    /// The number of calls by which the quota may be exceeded in addition.
    pub tolerance: u32,
}

impl QuotaSettings {
    /// Returns the number of tokens with which a bucket starts. An earlier owner may have granted a
    /// full burst just before.
    pub fn initial_tokens(&self) -> f64 {
        f64::from(self.tolerance) / 4.0
    }

    /// Returns the tokens per second that a deputy grants, so that in a window it grants no more than
    /// twice [`Self::initial_tokens`].
    pub fn deputy_rate(&self) -> f64 {
        self.initial_tokens() * 1e3 / self.window.get().max(1) as f64
    }
}

impl Default for QuotaSettings {
    fn default() -> Self {
        const WINDOW: Millis = Millis::new(5_000);
        const OVERAGE: PerMille = PerMille::new(100).unwrap();
        const TOLERANCE: u32 = 20;
        Self { window: WINDOW, overage: OVERAGE, tolerance: TOLERANCE }
    }
}
