//! A node's share of the fleet's retry budget.

use std::collections::HashMap;

use crate::ids::ServiceName;
use crate::units::{Instant, Micros, PerMille};

/// A node's share of the fleet's retry budget, which limits second arrivals at the backend servers
/// of a service in a time window, in relation to the calls of the service on all nodes.
///
/// Each node may retry a fraction of its own first arrivals and has a part of the fleet's fixed
/// allowance. The sum over all nodes stays below the budget in every window, which is `ratio` of
/// the calls plus `allowance`: each bucket holds a part of `allowance / nodes` and gains `ratio`
/// tokens for each call. A node that restarts begins with an empty bucket, so that a series of
/// restarts brings no additional allowance.
#[derive(Debug)]
pub struct RetryShare {
    ratio: f64,
    allowance: f64,
    window: Micros,
    nodes: u32,
    buckets: HashMap<ServiceName, Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl RetryShare {
    /// The fraction of the budget that is used. The rest covers calls that retried calls make, and
    /// nodes that are not known yet.
    const USED_FRACTION: f64 = 0.6;

    /// Creates the share of a budget of `ratio` of the calls and `allowance` in each `window`.
    pub fn new(ratio: PerMille, allowance: u32, window: Micros) -> Self {
        Self {
            ratio: Self::USED_FRACTION * f64::from(ratio.get()) / 1_000.0,
            allowance: Self::USED_FRACTION * f64::from(allowance),
            window,
            nodes: 1,
            buckets: HashMap::new(),
        }
    }

    /// Sets the number of nodes that share the budget, this one included.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1);
    }

    /// Records the first arrival of a call of `service`, which adds tokens.
    pub fn first_arrival(&mut self, now: Instant, service: &ServiceName) {
        let (ratio, max_tokens) = (self.ratio, self.max_tokens());
        if let Some(bucket) = self.refill(now, service) {
            bucket.tokens = (bucket.tokens + ratio).min(max_tokens);
        }
    }

    /// Takes a token for a retry of a call of `service`. Returns false if none is left.
    pub fn try_acquire(&mut self, now: Instant, service: &ServiceName) -> bool {
        let Some(bucket) = self.refill(now, service) else { return false };
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the retries left for calls of `service`, as of the last update.
    pub fn retries_left(&self, service: &ServiceName) -> u32 {
        self.buckets.get(service).map_or(0, |bucket| bucket.tokens as u32)
    }

    /// Returns the capacity of a bucket in tokens: half of the node's part of the allowance, since
    /// the bucket gains the other half over a window; at least one.
    fn max_tokens(&self) -> f64 {
        (self.allowance / f64::from(self.nodes) / 2.0).max(1.0)
    }

    /// Adds the tokens that the node's part of the allowance has gained since the last refill.
    fn refill(&mut self, now: Instant, service: &ServiceName) -> Option<&mut Bucket> {
        let max_tokens = self.max_tokens();
        let tokens_per_micro =
            self.allowance / f64::from(self.nodes) / 2.0 / self.window.get().max(1) as f64;
        if !self.buckets.contains_key(service) {
            self.buckets.insert(service.clone(), Bucket { tokens: 0.0, refilled_at: now });
        }
        let bucket = self.buckets.get_mut(service)?;
        let gained = now.since(bucket.refilled_at).get() as f64 * tokens_per_micro;
        bucket.refilled_at = now;
        bucket.tokens = (bucket.tokens + gained).min(max_tokens);
        Some(bucket)
    }
}
