//! How often the calls of more and less urgent routes are served.

use std::collections::HashMap;

use crate::fleet::CallRequirements;
use crate::fleet::service_ratio::ServiceRatio;
use crate::ids::RouteName;
use crate::units::Instant;

/// How often the calls of more and less urgent routes are served.
///
/// Less urgent calls often have more time and so are admitted while urgent ones would be late.
/// Unless that is corrected, they are served more often than the urgent ones.
#[derive(Debug, Default)]
pub(super) struct KindRatios {
    kinds: HashMap<RouteName, KindRatio>,
}

#[derive(Debug, Default, Clone, Copy)]
struct KindRatio {
    /// The priority of the route; 0 is the most urgent.
    priority: u8,
    ratio: ServiceRatio,
}

impl KindRatios {
    /// The largest number of routes that are compared; further ones are ignored.
    const MAX_KINDS: usize = 32;
    /// Ratios that differ by less than this count as equal.
    const TOLERANCE: f64 = 0.02;

    /// Records that a call got a slot, or was refused.
    pub(super) fn record(&mut self, now: Instant, call: &CallRequirements, is_served: bool) {
        if !self.kinds.contains_key(&call.route) {
            self.kinds.retain(|_, kind| kind.ratio.at(now).is_some());
            if self.kinds.len() >= Self::MAX_KINDS {
                return;
            }
        }
        let kind = self.kinds.entry(call.route.clone()).or_default();
        kind.priority = call.rank.route;
        kind.ratio.record(now, is_served);
    }

    /// Returns whether calls like `call` are served more often than those of a more urgent route.
    pub(super) fn is_overserved(&self, now: Instant, call: &CallRequirements) -> bool {
        let own = self.kinds.get(&call.route).and_then(|kind| kind.ratio.at(now));
        let Some(own) = own else { return false };
        let more_urgent = self.kinds.values().filter(|kind| kind.priority < call.rank.route);
        more_urgent.filter_map(|kind| kind.ratio.at(now)).any(|ratio| ratio + Self::TOLERANCE < own)
    }
}
