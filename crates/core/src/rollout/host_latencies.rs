//! The latencies of the hosts of both versions.

use std::collections::BTreeMap;

use crate::ids::NodeId;
use crate::rollout::LatencyCounts;

/// Number of calls from which the speed of a host is known well enough to compare it.
const MIN_HOST_CALLS: u64 = 10;
/// Number of buckets by which the new version may be slower: two, a factor of 2 in time.
const TOLERATED_BUCKETS: usize = 2;
/// Number of buckets by which a host is as fast as the fastest one.
const SAME_SPEED_BUCKETS: f64 = 1.0;

/// The latencies of the hosts of both versions, over all routes.
///
/// A version runs on some hosts only, so a slow version can't be told from slow
/// hosts for certain. The comparison leans towards the hosts: the new version is
/// slow only if its fastest hosts are slower than the old version's, by more
/// than the old version's hosts differ among themselves.
#[derive(Debug, Clone, Default)]
pub(crate) struct HostLatencies {
    new: BTreeMap<NodeId, LatencyCounts>,
    old: BTreeMap<NodeId, LatencyCounts>,
}

impl HostLatencies {
    /// Adds calls of the new, or the old, version on the host of `node`.
    pub(crate) fn add(&mut self, is_new: bool, node: &NodeId, latency: &LatencyCounts) {
        let hosts = if is_new { &mut self.new } else { &mut self.old };
        hosts.entry(node.clone()).or_default().add(latency);
    }

    /// The number of buckets by which the new version's fastest hosts may be slower.
    pub(crate) fn tolerated_buckets(&self) -> usize {
        let low = means(&self.old).fold(f64::INFINITY, f64::min);
        let high = means(&self.old).fold(f64::NEG_INFINITY, f64::max);
        let spread = if low <= high { high - low } else { 0.0 };
        TOLERATED_BUCKETS + spread.round() as usize
    }

    /// The mean bucket up to which a host of the new version is among the fastest;
    /// `None` while the speed of none is known.
    pub(crate) fn fast_limit(&self) -> Option<f64> {
        let fastest = means(&self.new).fold(f64::INFINITY, f64::min);
        fastest.is_finite().then_some(fastest + SAME_SPEED_BUCKETS)
    }

    /// Whether `node` is known to be among the new version's fastest hosts, by `limit`.
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
