//! The speed of the hosts of both versions, by the latency of their calls.

use std::collections::BTreeMap;

use crate::ids::NodeId;
use crate::rollout::LatencyCounts;

/// The smallest number of calls that gives a usable mean latency of a host.
const MIN_HOST_CALLS: u64 = 10;
/// The number of buckets by which the new version may be slower: two, a factor of 2 in time.
const TOLERATED_BUCKETS: usize = 2;
/// The largest difference in mean bucket from the fastest host at which a host counts as fast.
const SAME_SPEED_BUCKETS: f64 = 1.0;

/// The latencies of the hosts of both versions, over all routes.
///
/// A version runs on some hosts only, so a slow version can't be distinguished from slow hosts
/// with certainty. When in doubt, the hosts count as the cause: the new version is slow only if
/// its fastest hosts are slower than the old version's hosts by more than those differ among
/// themselves.
#[derive(Debug, Clone, Default)]
pub(crate) struct HostLatencies {
    new: BTreeMap<NodeId, LatencyCounts>,
    old: BTreeMap<NodeId, LatencyCounts>,
}

impl HostLatencies {
    /// Adds the latencies of calls of the new or the old version on the host of `node`.
    pub(crate) fn add(&mut self, is_new: bool, node: &NodeId, latency: &LatencyCounts) {
        let hosts = if is_new { &mut self.new } else { &mut self.old };
        hosts.entry(node.clone()).or_default().add(latency);
    }

    /// Returns the number of buckets by which the new version's fastest hosts may be slower.
    pub(crate) fn tolerated_buckets(&self) -> usize {
        let low = means(&self.old).fold(f64::INFINITY, f64::min);
        let high = means(&self.old).fold(f64::NEG_INFINITY, f64::max);
        let spread = if low <= high { high - low } else { 0.0 };
        TOLERATED_BUCKETS + spread.round() as usize
    }

    /// Returns the mean bucket up to which a host of the new version is among the fastest; `None`
    /// until one of them has had enough calls.
    pub(crate) fn fast_limit(&self) -> Option<f64> {
        let fastest = means(&self.new).fold(f64::INFINITY, f64::min);
        fastest.is_finite().then_some(fastest + SAME_SPEED_BUCKETS)
    }

    /// Returns whether the mean latency of the new version on `node` is known and at most `limit`,
    /// the result of [`Self::fast_limit`].
    pub(crate) fn is_fast(&self, node: &NodeId, limit: Option<f64>) -> bool {
        let mean = self.new.get(node).and_then(known_mean);
        matches!((mean, limit), (Some(mean), Some(limit)) if mean <= limit)
    }
}

fn means(hosts: &BTreeMap<NodeId, LatencyCounts>) -> impl Iterator<Item = f64> {
    hosts.values().filter_map(known_mean)
}

fn known_mean(counts: &LatencyCounts) -> Option<f64> {
    if counts.total() >= MIN_HOST_CALLS { counts.mean_bucket() } else { None }
}
