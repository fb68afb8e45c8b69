//! How often the calls of each route and team are served.

use std::collections::HashMap;

use crate::fleet::service_ratio::ServiceRatio;
use crate::fleet::{CallRequirements, FairShare, ShareHolder};
use crate::ids::RouteName;
use crate::units::Instant;

/// How often the calls of each route and team are served, over recent calls.
///
/// A route or team is underserved if its ratio is far below that of all calls. Its calls then go
/// first until it no longer is, so that no priority and no flood of other calls starves it.
#[derive(Debug, Default)]
pub(super) struct ServiceRatios {
    all: ServiceRatio,
    routes: HashMap<RouteName, ServiceRatio>,
    holders: HashMap<ShareHolder, ServiceRatio>,
}

impl ServiceRatios {
    /// A ratio below this fraction of the ratio of all calls is too low.
    const MIN_RELATIVE_RATIO: f64 = 0.42;
    /// Fewer calls than this in a decayed sum no longer count.
    const NEGLIGIBLE_CALLS: f64 = 0.1;

    /// Records that a call got a slot, or was refused.
    pub(super) fn record(&mut self, now: Instant, call: &CallRequirements, is_served: bool) {
        self.make_room(now);
        self.all.record(now, is_served);
        if let Some(ratio) = entry(&mut self.routes, &call.route) {
            ratio.record(now, is_served);
        }
        if let Some(ratio) = entry(&mut self.holders, &ShareHolder::of(call)) {
            ratio.record(now, is_served);
        }
    }

    /// Returns whether the route or the team of `call` is served far less often than others.
    pub(super) fn is_underserved(&self, now: Instant, call: &CallRequirements) -> bool {
        let least = Self::MIN_RELATIVE_RATIO * self.all.at(now).unwrap_or_default();
        let is_low = |ratio: Option<&ServiceRatio>| {
            ratio.and_then(|ratio| ratio.at(now)).is_some_and(|ratio| ratio < least)
        };
        is_low(self.routes.get(&call.route)) || is_low(self.holders.get(&ShareHolder::of(call)))
    }

    /// Forgets routes and teams without recent calls when there is no room for others.
    fn make_room(&mut self, now: Instant) {
        if self.routes.len() >= FairShare::MAX_ACCOUNTS {
            self.routes.retain(|_, ratio| ratio.calls(now) > Self::NEGLIGIBLE_CALLS);
        }
        if self.holders.len() >= FairShare::MAX_ACCOUNTS {
            self.holders.retain(|_, ratio| ratio.calls(now) > Self::NEGLIGIBLE_CALLS);
        }
    }
}

/// Returns the ratio of `key`; `None` if there is no room for it.
fn entry<'a, K: Clone + Eq + std::hash::Hash>(
    ratios: &'a mut HashMap<K, ServiceRatio>,
    key: &K,
) -> Option<&'a mut ServiceRatio> {
    if !ratios.contains_key(key) && ratios.len() >= FairShare::MAX_ACCOUNTS {
        return None;
    }
    Some(ratios.entry(key.clone()).or_default())
}
