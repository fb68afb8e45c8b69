//! Chooses the endpoint of each call.

use std::collections::HashMap;

use rand::Rng;

use crate::RefusalReason;
use crate::fleet::{
    ColdChoice, Endpoint, EndpointDraws, EndpointLoad, MeshRoute, ServiceEndpoints, VersionRule,
};
use crate::ids::{DataCentre, NodeId, RouteName, ServiceName};
use crate::store::StorePosition;
use crate::units::{ByteCount, Instant, Micros, PerMille};

/// Chooses the endpoint of each call by the load and failures that this node observed.
///
/// Handles services whose servers differ in speed, and data centres with more calls than their own
/// server can run: a call goes to the endpoint with the lowest expected cost of lateness, failure
/// and bytes between data centres. Costs are fractions of the value of an answered call.
#[derive(Debug)]
pub struct LoadBalancer {
    data_centre: DataCentre,
    /// How many endpoints are considered for a call to servers that report their rates.
    draws: EndpointDraws,
    loads: HashMap<NodeId, EndpointLoad>,
    shifts: HashMap<ServiceName, ShiftCount>,
    /// The mean size of a call of each route, in kilobytes.
    mean_kilobytes: HashMap<RouteName, f64>,
}

/// The calls of a service since a rollout order, and how many of them went to the new version.
#[derive(Debug, Clone, Copy)]
struct ShiftCount {
    order: StorePosition,
    all_calls: u64,
    new_calls: u64,
}

impl LoadBalancer {
    /// The cost of a kilobyte sent to another data centre, as a fraction of a call's value.
    const CROSS_DATA_CENTRE_COST_PER_KILOBYTE: f64 = 0.035;
    /// The largest cost of the bytes of a call to another data centre. Less than that of a late
    /// answer, so that large calls leave a data centre whose own servers are too slow for them.
    const MAX_CROSS_DATA_CENTRE_COST: f64 = 0.5;
    /// The bytes of a call besides its bodies: two heads and their packets.
    const HEADER_BYTES: f64 = 1_000.0;
    /// The cost of an answer after the target latency, as a fraction of a call's value.
    const LATE_COST: f64 = 0.7;
    /// The further cost of a call without an answer before its deadline, as a fraction of its
    /// value.
    const DEADLINE_MISS_COST: f64 = 0.6;
    /// The cost of a failed call, as a fraction of its value.
    const FAILURE_COST: f64 = 1.0;
    /// The cost of each target latency that an answer takes, as a fraction of a call's value.
    /// Decides between endpoints that would all answer in time.
    const LATENCY_COST_PER_TARGET: f64 = 0.04;
    /// The weight of waiting time relative to run time. A waiting call also delays those behind it:
    /// with equal weights, all calls together would wait too long at the fastest server.
    const WAIT_WEIGHT: f64 = 2.0;
    /// The scale of the logistic distribution of the logarithm of a call's latency.
    const LATENCY_LOG_SCALE: f64 = 0.25;
    /// The run time assumed before a route's calls are observed, as a fraction of its target
    /// latency.
    const DEFAULT_RUN_TIME_FRACTION: f64 = 0.35;
    /// The factor by which calls run longer at a server that has just started.
    const COLD_RUN_TIME_FACTOR: f64 = 2.0;
    /// One in this many idempotent calls goes to an endpoint that was never called, if there is
    /// one: the speed of a new server is known only from calls.
    const CALLS_PER_EXPLORATION: u32 = 16;
    /// The retry delay of a call that no endpoint may take: about the time in which an evacuation
    /// can end, or a cold server admits further calls.
    const RETRY_AFTER: Micros = Micros::new(1_000_000);
    /// The weight of the newest call in the mean size of a route's calls.
    const NEWEST_SIZE_WEIGHT: f64 = 0.1;

    /// Creates a load balancer for a node in `data_centre`.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            draws: EndpointDraws::default(),
            loads: HashMap::new(),
            shifts: HashMap::new(),
            mean_kilobytes: HashMap::new(),
        }
    }

    /// Sets how many endpoints are considered for a call to servers that report their rates.
    #[must_use]
    pub const fn with_draws(mut self, draws: EndpointDraws) -> Self {
        self.draws = draws;
        self
    }

    /// Returns the observed load of the endpoint of `node`, for reading and recording.
    pub fn load(&mut self, node: &NodeId) -> &mut EndpointLoad {
        if !self.loads.contains_key(node) {
            self.loads.insert(node.clone(), EndpointLoad::default());
        }
        self.loads.get_mut(node).expect("the entry was inserted above")
    }

    /// Records that a call of `route` was answered; `size` is the sum of its bodies.
    pub fn record_size(&mut self, route: &RouteName, size: ByteCount) {
        let kilobytes = (size.get() as f64 + Self::HEADER_BYTES) / 1_000.0;
        match self.mean_kilobytes.get_mut(route) {
            Some(mean) => *mean += Self::NEWEST_SIZE_WEIGHT * (kilobytes - *mean),
            None => {
                self.mean_kilobytes.insert(route.clone(), kilobytes);
            }
        }
    }

    /// Returns whether the first attempt of a call goes to the new version of a rollout. Counts the
    /// call.
    pub fn sends_to_new(
        &mut self,
        now: Instant,
        service: &ServiceName,
        endpoints: &ServiceEndpoints,
    ) -> bool {
        let VersionRule::Shift(shift) = &endpoints.rule else { return false };
        let has_new = endpoints.endpoints.iter().any(|endpoint| endpoint.version == shift.target);
        let no_calls = ShiftCount { order: shift.order, all_calls: 0, new_calls: 0 };
        let count = self.shifts.entry(service.clone()).or_insert(no_calls);
        if count.order != shift.order {
            *count = no_calls;
        }
        let to_new = has_new && shift.sends_to_new(now, count.new_calls, count.all_calls);
        count.all_calls += 1;
        count.new_calls += u64::from(to_new);
        to_new
    }

    /// Chooses the endpoint for `call`; `None` if no endpoint is left. During a shift, the old
    /// version takes calls for a new version that has no endpoint left.
    pub fn choose<'a>(
        &self,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoints: &'a ServiceEndpoints,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        let limits = &CallLimits::draw(self, now, call, endpoints, rng);
        if call.to_new
            && let Some(burst) = canary_burst(now, endpoints)
            && let Some(endpoint) = canary_endpoint(now, endpoints, burst)
            && !call.tried_nodes.contains(&endpoint.node)
            && limits.allow(endpoint, call.to_new)
        {
            return Some(endpoint);
        }
        let allowed = |to_new: bool| {
            let may_take = move |endpoint: &&Endpoint| {
                !call.tried_nodes.contains(&endpoint.node) && limits.allow(endpoint, to_new)
            };
            endpoints.endpoints.iter().filter(may_take)
        };
        if allowed(call.to_new).any(|endpoint| self.is_rated(endpoint)) {
            return self.choose_rated(now, call, allowed(call.to_new), rng);
        }
        let explores =
            call.route.idempotent && rng.random_range(0..Self::CALLS_PER_EXPLORATION) == 0;
        if explores
            && let Some(endpoint) = allowed(call.to_new).find(|endpoint| self.is_unknown(endpoint))
        {
            return Some(endpoint);
        }
        let is_shift = matches!(endpoints.rule, VersionRule::Shift(_));
        let preferred = self.cheapest(now, call, allowed(call.to_new), rng);
        let preferred = preferred.or_else(|| {
            let has_substitute = is_shift && call.to_new;
            has_substitute.then(|| self.cheapest(now, call, allowed(false), rng)).flatten()
        });
        preferred.or_else(|| {
            // The endpoint's own node decides about calls that have no other endpoint.
            let last_resort = |to_new| {
                self.open_endpoints(now, call, endpoints, to_new)
                    .filter(|endpoint| !self.has_refused_as_cold(now, endpoint))
            };
            let preferred = self.cheapest(now, call, last_resort(call.to_new), rng);
            preferred.or_else(|| self.cheapest(now, call, last_resort(false), rng))
        })
    }

    /// Returns why no endpoint may take `call`, with the retry delay; `None` if the reason is
    /// neither a cold server nor an evacuation.
    pub fn refusal(
        &self,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoints: &ServiceEndpoints,
    ) -> Option<(RefusalReason, Micros)> {
        let mut open = self.open_endpoints(now, call, endpoints, call.to_new).peekable();
        if open.peek().is_some() {
            let retry = open.map(|endpoint| self.cold_retry_after(now, endpoint)).min();
            return Some((RefusalReason::ColdServer, retry.unwrap_or(Self::RETRY_AFTER)));
        }
        let is_evacuated = |endpoint: &Endpoint| endpoint.ramp.is_closed(now);
        let is_refused = endpoints.endpoints.iter().any(is_evacuated);
        is_refused.then_some((RefusalReason::Evacuated, Self::RETRY_AFTER))
    }

    /// Returns the endpoints that were not tried and may take at least a share of the calls like
    /// `call`.
    fn open_endpoints<'a>(
        &self,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoints: &'a ServiceEndpoints,
        to_new: bool,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let tried_nodes = call.tried_nodes;
        endpoints.endpoints.iter().filter(move |endpoint| {
            !tried_nodes.contains(&endpoint.node)
                && endpoints.policy(now, to_new).share(endpoint) > PerMille::ZERO
        })
    }

    fn has_refused_as_cold(&self, now: Instant, endpoint: &Endpoint) -> bool {
        endpoint.cold_rate.is_some() && self.cold_retry_after(now, endpoint).get() > 0
    }

    fn cold_retry_after(&self, now: Instant, endpoint: &Endpoint) -> Micros {
        let load = self.loads.get(&endpoint.node);
        load.map_or(Micros::default(), |load| load.cold_retry_after(now))
    }

    /// Returns the rate of calls like `call`, per second, that `endpoint` takes while it is warm.
    fn warm_rate(&self, call: &LoadBalancerContext<'_>, endpoint: &Endpoint) -> f64 {
        let target = Micros::from(call.route.target_latency).get() as f64;
        let mean = self.loads.get(&endpoint.node).and_then(EndpointLoad::mean);
        let mean = mean.map_or(Self::DEFAULT_RUN_TIME_FRACTION * target, |mean| mean.get() as f64);
        f64::from(endpoint.slots.max(1)) * 1e6 / mean.max(1.0)
    }

    /// Returns the expected latency of a call of `route` at `endpoint`, and the number of calls
    /// that run or wait ahead of it.
    pub fn estimate(&self, now: Instant, route: &MeshRoute, endpoint: &Endpoint) -> (Micros, u32) {
        let unknown = EndpointLoad::default();
        let load = self.loads.get(&endpoint.node).unwrap_or(&unknown);
        let estimate = Self::expected_latency(now, route, endpoint, load);
        (Micros::new(estimate as u64), load.calls_ahead(now, &route.name))
    }

    /// Returns the age of the last load report of a node's endpoint; `None` if there was none.
    pub fn report_age(&self, now: Instant, node: &NodeId) -> Option<Micros> {
        self.loads.get(node)?.reported_at().map(|at| now.since(at))
    }

    /// Returns when the endpoint with the oldest load report sent it, among the endpoints whose
    /// report still affects decisions.
    pub fn oldest_report(&self, now: Instant) -> Option<Instant> {
        let reports = self.loads.values().filter_map(EndpointLoad::reported_at);
        reports.filter(|at| now.since(*at) < EndpointLoad::MAX_REPORT_AGE.into()).min()
    }

    /// Returns whether the endpoint's server reports its rate.
    fn is_rated(&self, endpoint: &Endpoint) -> bool {
        self.loads.get(&endpoint.node).is_some_and(EndpointLoad::is_rated)
    }

    /// Chooses among a sample of the endpoints of a service whose servers report their rates.
    /// Silent and ejected endpoints are drawn only if there are no others.
    fn choose_rated<'a>(
        &self,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoints: impl Iterator<Item = &'a Endpoint> + Clone,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        let is_ejected = |endpoint: &Endpoint| {
            self.loads.get(&endpoint.node).is_some_and(|load| load.is_ejected(now))
        };
        let is_usable = |endpoint: &&Endpoint| !endpoint.is_silent && !is_ejected(endpoint);
        let usable = endpoints.clone().filter(is_usable);
        let sample = self.draws.draw(usable, &self.data_centre, rng);
        let explores =
            call.route.idempotent && rng.random_range(0..Self::CALLS_PER_EXPLORATION) == 0;
        if explores && let Some(endpoint) = sample.iter().copied().find(|e| self.is_unknown(e)) {
            return Some(endpoint);
        }
        let cheapest = self.cheapest(now, call, sample.into_iter(), rng);
        cheapest.or_else(|| self.cheapest(now, call, endpoints, rng))
    }

    /// Returns whether the endpoint never reported its mean run time to this node and is not
    /// silent.
    fn is_unknown(&self, endpoint: &Endpoint) -> bool {
        let is_known = self.loads.get(&endpoint.node).is_some_and(|load| load.mean().is_some());
        !is_known && !endpoint.is_silent
    }

    fn cheapest<'a>(
        &self,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        let unknown = EndpointLoad::default();
        let cost = |endpoint: &'a Endpoint| {
            let load = self.loads.get(&endpoint.node).unwrap_or(&unknown);
            let is_ejected = load.is_ejected(now) || endpoint.is_silent;
            (is_ejected, self.expected_cost(now, call, endpoint, load))
        };
        endpoints
            // A small random cost spreads calls over endpoints of the same cost.
            .map(|endpoint| (cost(endpoint), rng.random_range(0.0..0.01), endpoint))
            .min_by(|((a_ejected, a), a_draw, _), ((b_ejected, b), b_draw, _)| {
                a_ejected.cmp(b_ejected).then((a + a_draw).total_cmp(&(b + b_draw)))
            })
            .map(|(_, _, endpoint)| endpoint)
    }

    /// Returns the expected cost of a call at `endpoint`, as a fraction of the call's value.
    fn expected_cost(
        &self,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoint: &Endpoint,
        load: &EndpointLoad,
    ) -> f64 {
        let route = call.route;
        let estimate = Self::expected_latency(now, route, endpoint, load);
        let target = Micros::from(route.target_latency).get() as f64;
        let is_remote = endpoint.data_centre != self.data_centre;
        let kilobytes =
            self.mean_kilobytes.get(&route.name).copied().unwrap_or(Self::HEADER_BYTES / 1_000.0);
        let transfer_cost = if is_remote {
            let cost = Self::CROSS_DATA_CENTRE_COST_PER_KILOBYTE * kilobytes;
            cost.min(Self::MAX_CROSS_DATA_CENTRE_COST)
        } else {
            0.0
        };
        Self::LATE_COST * Self::probability_above(estimate, call.target_left)
            + Self::DEADLINE_MISS_COST * Self::probability_above(estimate, call.deadline_left)
            + Self::LATENCY_COST_PER_TARGET * estimate / target.max(1.0)
            + Self::FAILURE_COST * load.failure_share_at(now)
            + transfer_cost
    }

    /// Returns the expected latency of a call at `endpoint`, in microseconds.
    fn expected_latency(
        now: Instant,
        route: &MeshRoute,
        endpoint: &Endpoint,
        load: &EndpointLoad,
    ) -> f64 {
        let target = Micros::from(route.target_latency).get() as f64;
        let default_run_time = Self::DEFAULT_RUN_TIME_FRACTION * target;
        let run_time = load
            .expected_at(now, &route.name)
            .map_or(default_run_time, |run_time| run_time.get() as f64);
        let run_time =
            if endpoint.is_cold { Self::COLD_RUN_TIME_FACTOR * run_time } else { run_time };
        let mean = load.mean_at(now).map_or(run_time, |mean| mean.get() as f64);
        let slots = f64::from(endpoint.slots.max(1));
        let queued = (f64::from(load.calls_ahead(now, &route.name)) + 1.0 - slots).max(0.0);
        run_time + Self::WAIT_WEIGHT * queued * mean / slots
    }

    /// Returns the probability that a call with an expected latency of `estimate` microseconds
    /// takes longer than `limit`.
    fn probability_above(estimate: f64, limit: Micros) -> f64 {
        let ratio = estimate.max(1.0) / (limit.get() as f64).max(1.0);
        1.0 / (1.0 + (-ratio.ln() / Self::LATENCY_LOG_SCALE).exp())
    }
}

/// A call for which an endpoint is chosen.
#[derive(Debug, Clone, Copy)]
pub struct LoadBalancerContext<'a> {
    /// The route that the call matched.
    pub route: &'a MeshRoute,
    /// The time left until an answer is late.
    pub target_left: Micros,
    /// The time left until the caller has no use for an answer.
    pub deadline_left: Micros,
    /// Whether the call goes to the new version of a rollout, as [`LoadBalancer::sends_to_new`]
    /// decided.
    pub to_new: bool,
    /// The nodes that were tried and are not chosen again.
    pub tried_nodes: &'a [NodeId],
}

/// Which endpoints a call may go to, by the version rule of its service, evacuations and cold
/// limits. Shares below the whole are drawn once for each call.
#[derive(Debug)]
struct CallLimits<'a> {
    now: Instant,
    endpoints: &'a ServiceEndpoints,
    /// Endpoints whose share is above this may take the call.
    ramp_draw: u16,
    /// The cold endpoint that may take the call.
    cold_node: Option<&'a NodeId>,
}

impl<'a> CallLimits<'a> {
    /// Draws no numbers if no endpoint is limited.
    fn draw(
        load_balancer: &LoadBalancer,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoints: &'a ServiceEndpoints,
        rng: &mut impl Rng,
    ) -> Self {
        let all = &endpoints.endpoints;
        let is_limited = |endpoint: &Endpoint| endpoint.ramp.share(now) < PerMille::MAX;
        let ramp_draw =
            if all.iter().any(is_limited) { rng.random_range(0..PerMille::MAX.get()) } else { 0 };
        let mut limits = Self { now, endpoints, ramp_draw, cold_node: None };
        if all.iter().any(|endpoint| endpoint.cold_rate.is_some()) {
            let mut cold = ColdChoice::default();
            let may_take = |endpoint: &&Endpoint| {
                limits.is_open(endpoint, call.to_new)
                    && !load_balancer.has_refused_as_cold(now, endpoint)
            };
            for endpoint in all.iter().filter(may_take) {
                cold.add(endpoint, load_balancer.warm_rate(call, endpoint));
            }
            limits.cold_node = cold.drawn(rng.random());
        }
        limits
    }

    fn allow(&self, endpoint: &Endpoint, to_new: bool) -> bool {
        let is_drawn = endpoint.cold_rate.is_none() || self.cold_node == Some(&endpoint.node);
        is_drawn && self.is_open(endpoint, to_new)
    }

    /// Returns whether `endpoint` may take the call if it is warm.
    fn is_open(&self, endpoint: &Endpoint, to_new: bool) -> bool {
        self.endpoints.policy(self.now, to_new).share(endpoint).get() > self.ramp_draw
    }
}

fn canary_burst(now: Instant, endpoints: &ServiceEndpoints) -> Option<u64> {
    match &endpoints.rule {
        VersionRule::Shift(shift) => shift.burst(now),
        _ => None,
    }
}

/// Returns the endpoint that takes all calls of a canary burst. Every node chooses the same one.
fn canary_endpoint(now: Instant, endpoints: &ServiceEndpoints, burst: u64) -> Option<&Endpoint> {
    let VersionRule::Shift(shift) = &endpoints.rule else { return None };
    let is_new = |endpoint: &&Endpoint| {
        let share = endpoints.policy(now, true).share(endpoint);
        endpoint.version == shift.target && !endpoint.is_silent && share > PerMille::ZERO
    };
    let mut new: Vec<&Endpoint> = endpoints.endpoints.iter().filter(is_new).collect();
    new.sort_by(|a, b| a.node.cmp(&b.node));
    let count = u64::try_from(new.len()).ok().filter(|count| *count > 0)?;
    new.get(usize::try_from(burst % count).ok()?).copied()
}
