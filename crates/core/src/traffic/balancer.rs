//! The choice of the endpoint for a call.

use rand::Rng;

use crate::ids::{DataCentre, NodeId, Region};
use crate::peers::BackendState;
use crate::traffic::{Candidate, Endpoint};
use crate::units::{Instant, Micros, Millis, PerMille};

/// Chooses the endpoint for a call by the power of two random choices, preferring near endpoints.
#[derive(Debug, Clone)]
pub struct Balancer {
    /// The data centre of the node that chooses.
    pub data_centre: DataCentre,
    /// The region of the node that chooses.
    pub region: Region,
}

impl Balancer {
    /// The largest share of the candidates that is ejected at once.
    ///
    /// Ejecting more would send the whole load to the few others, although failures at most
    /// endpoints usually have a common cause.
    pub const MAX_EJECTED_SHARE: PerMille = match PerMille::new(500) {
        Some(share) => share,
        None => PerMille::ZERO,
    };
    /// The time that an endpoint takes to reach its full share of calls after a cold start.
    pub const WARM_UP: Millis = Millis::new(10_000);
    /// The share of an endpoint's slots that counts at the beginning of a cold start.
    const COLD_SHARE: f64 = 0.1;
    /// The factor on the cost of an endpoint for each step of distance. At 1.5, calls leave the
    /// data centre when more than half of the slots of its endpoints are busy.
    const DISTANCE_PENALTY: f64 = 1.5;
    /// The latency assumed until a call has ended at one of the candidates.
    const INITIAL_LATENCY: Micros = Micros::new(1_000);

    /// Returns the index of the chosen candidate; `None` if none is left. Excludes the nodes in
    /// `tried_nodes`, and ejected endpoints up to [`Self::MAX_EJECTED_SHARE`] of all candidates.
    pub fn choose(
        &self,
        now: Instant,
        candidates: &[Candidate<'_>],
        tried_nodes: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let ejected = ejected(now, candidates);
        let mean_latency = mean_latency(now, candidates);
        let mut best: Option<(f64, usize)> = None;
        for (distance, penalty) in
            [1.0, Self::DISTANCE_PENALTY, Self::DISTANCE_PENALTY.powi(2)].into_iter().enumerate()
        {
            let is_allowed = |i: &usize| {
                let endpoint = candidates[*i].endpoint;
                self.distance(endpoint) == distance
                    && !tried_nodes.contains(&endpoint.node)
                    && !ejected.contains(i)
            };
            let tier: Vec<usize> = (0..candidates.len()).filter(is_allowed).collect();
            let chosen = better_of_two(&tier, |i| cost(now, candidates[i], mean_latency), rng);
            let weighted = chosen.map(|(cost, i)| (cost * penalty, i));
            best = match (best, weighted) {
                (Some(near), Some(far)) if far.0 < near.0 => Some(far),
                (near, far) => near.or(far),
            };
        }
        best.map(|(_, i)| i)
    }

    /// Returns 0 for an endpoint in the same data centre, 1 in the same region and 2 elsewhere.
    fn distance(&self, endpoint: &Endpoint) -> usize {
        match (endpoint.data_centre == self.data_centre, endpoint.region == self.region) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }
}

/// Returns the candidates excluded as ejected at `now`. If there are too many, those whose
/// ejection ends first are used again.
fn ejected(now: Instant, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut ejected: Vec<(Instant, usize)> = candidates
        .iter()
        .enumerate()
        .filter_map(|(i, candidate)| Some((candidate.load.ejected_until(now)?, i)))
        .collect();
    let limit = candidates.len() * usize::from(Balancer::MAX_EJECTED_SHARE.get())
        / usize::from(PerMille::MAX.get());
    ejected.sort_unstable_by(|a, b| b.cmp(a));
    ejected.truncate(limit);
    ejected.into_iter().map(|(_, i)| i).collect()
}

/// Returns the mean of the known latencies, weighted by their freshness. It replaces unknown and
/// old latencies, so that an endpoint that was never called doesn't look like the fastest one.
fn mean_latency(now: Instant, candidates: &[Candidate<'_>]) -> f64 {
    let known = candidates.iter().filter_map(|candidate| {
        let latency = candidate.load.latency()?.get() as f64;
        Some((latency, candidate.load.latency_weight(now)))
    });
    let (sum, weights) =
        known.fold((0.0, 0.0), |(sum, weights), (l, w)| (sum + l * w, weights + w));
    if weights > 0.0 { sum / weights } else { Balancer::INITIAL_LATENCY.get() as f64 }
}

fn better_of_two(
    tier: &[usize],
    cost: impl Fn(usize) -> f64,
    rng: &mut impl Rng,
) -> Option<(f64, usize)> {
    let with_cost = |i: usize| (cost(i), i);
    match tier.len() {
        0 => None,
        1 => Some(with_cost(tier[0])),
        n => {
            let a = rng.random_range(0..n);
            let b = (a + rng.random_range(1..n)) % n;
            let (a, b) = (with_cost(tier[a]), with_cost(tier[b]));
            Some(if b.0 < a.0 { b } else { a })
        }
    }
}

/// Returns the cost of a candidate: its expected latency in microseconds, raised by the share of
/// busy slots and by recent refusals.
fn cost(now: Instant, candidate: Candidate<'_>, mean_latency: f64) -> f64 {
    let Candidate { endpoint, load } = candidate;
    let slots = f64::from(endpoint.slots.max(1)) * usable_share(now, candidate);
    let busy = (load.estimated_in_flight(now) + 1.0) / slots;
    load.expected_latency(now, mean_latency) * (1.0 + busy) * (1.0 + load.recent_refusals(now))
}

/// Returns the share of an endpoint's slots that counts now, which grows during the warm-up.
fn usable_share(now: Instant, candidate: Candidate<'_>) -> f64 {
    let warm_up = Micros::from(Balancer::WARM_UP).get() as f64;
    let grown = candidate.load.warm_up_elapsed(now).get() as f64 / warm_up;
    match candidate.endpoint.state {
        BackendState::Starting => grown.clamp(Balancer::COLD_SHARE, 0.5),
        BackendState::Ready | BackendState::Draining => grown.clamp(Balancer::COLD_SHARE, 1.0),
    }
}
