//! The choice of the endpoint of a call.

use std::collections::HashMap;

use rand::Rng;

use crate::fleet::{Endpoint, EndpointLoad, MeshRoute, ServiceEndpoints, VersionRule};
use crate::ids::{DataCentre, NodeId, RouteName, ServiceName};
use crate::store::Revision;
use crate::units::{ByteCount, Instant, Micros};

/// Chooses the endpoint of each call by the load and failures that this node observed.
///
/// Answers the load pattern in which the servers of one service differ in speed and a data
/// centre has more calls than its own server can run: a call goes where its expected loss
/// is least, of lateness, failure and bytes between data centres.
#[derive(Debug)]
pub struct LoadBalancer {
    data_centre: DataCentre,
    loads: HashMap<NodeId, EndpointLoad>,
    shifts: HashMap<ServiceName, ShiftCount>,
    /// The kilobytes of a call of each route.
    sizes: HashMap<RouteName, f64>,
}

/// The calls of a service since an order, and how many went to the new version.
#[derive(Debug, Clone, Copy)]
struct ShiftCount {
    order: Revision,
    all: u64,
    new: u64,
}

impl LoadBalancer {
    /// What a kilobyte to another data centre costs, in parts of a call's worth.
    const CROSSING_KILOBYTE: f64 = 0.035;
    /// The bytes of a call beside its bodies: two heads and their packets.
    const HEADS: f64 = 1_000.0;
    /// What a late answer costs.
    const LATE: f64 = 0.7;
    /// What a call costs that has no answer before its deadline.
    const LOST: f64 = 0.6;
    /// What a failure costs.
    const FAILURE: f64 = 1.0;
    /// What the time itself costs, for each target latency. Decides between endpoints that are all
    /// in time.
    const TIME: f64 = 0.04;
    /// How much more a wait counts than its own time: a call that waits also delays those that
    /// come after it, so that all calls together would wait too long at the fastest server.
    const WAIT: f64 = 2.0;
    /// The spread of the logarithm of a call's time around its estimate.
    const SPREAD: f64 = 0.25;
    /// The first guess at the time of a call, as a part of the target latency.
    const FIRST_GUESS: f64 = 0.35;
    /// How much longer calls run at a server that has just started.
    const COLD: f64 = 2.0;
    /// One of this many idempotent calls goes to an endpoint that was never called, if there is
    /// one: a server that has joined shows what it can do only by calls.
    const EXPLORE: u32 = 16;
    /// The weight of the newest call in the size of a route's calls.
    const SIZE_WEIGHT: f64 = 0.1;

    /// Chooses for a node in `data_centre`.
    pub fn new(data_centre: DataCentre) -> Self {
        Self { data_centre, loads: HashMap::new(), shifts: HashMap::new(), sizes: HashMap::new() }
    }

    /// The observed load of the endpoint of `node`.
    pub fn load(&mut self, node: &NodeId) -> &mut EndpointLoad {
        if !self.loads.contains_key(node) {
            self.loads.insert(node.clone(), EndpointLoad::default());
        }
        self.loads.get_mut(node).expect("the entry was inserted above")
    }

    /// A call of `route` was answered; its bodies have `size` together.
    pub fn record_size(&mut self, route: &RouteName, size: ByteCount) {
        let size = (size.get() as f64 + Self::HEADS) / 1_000.0;
        match self.sizes.get_mut(route) {
            Some(mean) => *mean += Self::SIZE_WEIGHT * (size - *mean),
            None => {
                self.sizes.insert(route.clone(), size);
            }
        }
    }

    /// Whether the first attempt of a call goes to the new version of a rollout. Counts the call.
    pub fn sends_to_new(
        &mut self,
        now: Instant,
        service: &ServiceName,
        endpoints: &ServiceEndpoints,
    ) -> bool {
        let VersionRule::Shift(shift) = &endpoints.rule else { return false };
        let has_new = endpoints.endpoints.iter().any(|endpoint| endpoint.version == shift.target);
        let fresh = ShiftCount { order: shift.order, all: 0, new: 0 };
        let count = self.shifts.entry(service.clone()).or_insert(fresh);
        if count.order != shift.order {
            *count = fresh;
        }
        let to_new = has_new && shift.sends_to_new(now, count.new, count.all);
        count.all += 1;
        count.new += u64::from(to_new);
        to_new
    }

    /// The endpoint for `call`. At a full shift the old version stands in for a new one without
    /// endpoints.
    pub fn choose<'a>(
        &self,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoints: &'a ServiceEndpoints,
        rng: &mut impl Rng,
    ) -> Option<&'a Endpoint> {
        if call.to_new
            && let Some(burst) = burst(now, endpoints)
            && let Some(endpoint) = canary(endpoints, burst)
            && !call.tried.contains(&endpoint.node)
        {
            return Some(endpoint);
        }
        let allowed = |to_new: bool| {
            let fits = move |endpoint: &&Endpoint| {
                !call.tried.contains(&endpoint.node)
                    && endpoints.rule.allows(&endpoint.version, to_new)
            };
            endpoints.endpoints.iter().filter(fits)
        };
        let is_explorer = call.route.idempotent && rng.random_range(0..Self::EXPLORE) == 0;
        if is_explorer
            && let Some(endpoint) = allowed(call.to_new).find(|endpoint| self.is_unknown(endpoint))
        {
            return Some(endpoint);
        }
        let is_shift = matches!(endpoints.rule, VersionRule::Shift(_));
        let wanted = self.best(now, call, allowed(call.to_new), rng);
        wanted.or_else(|| {
            let has_substitute = is_shift && call.to_new;
            has_substitute.then(|| self.best(now, call, allowed(false), rng)).flatten()
        })
    }

    /// How long an answer of `endpoint` to a call of `route` is likely to take, and the calls that
    /// run or wait before it.
    pub fn estimate(&self, now: Instant, route: &MeshRoute, endpoint: &Endpoint) -> (Micros, u32) {
        let unknown = EndpointLoad::default();
        let load = self.loads.get(&endpoint.node).unwrap_or(&unknown);
        let estimate = Self::expected_latency(now, route, endpoint, load);
        (Micros::new(estimate as u64), load.calls_ahead(now, &route.name))
    }

    /// How old the last report of a node's endpoint is; `None` if there was none.
    pub fn report_age(&self, now: Instant, node: &NodeId) -> Option<Micros> {
        self.loads.get(node)?.reported_at().map(|at| now.since(at))
    }

    /// When the endpoint whose load is known for longest reported it, of those whose report still
    /// decides where calls go.
    pub fn oldest_report(&self, now: Instant) -> Option<Instant> {
        let reports = self.loads.values().filter_map(EndpointLoad::reported_at);
        reports.filter(|at| now.since(*at) < EndpointLoad::MAX_REPORT_AGE.into()).min()
    }

    /// Whether this node never had an answer of `endpoint`.
    fn is_unknown(&self, endpoint: &Endpoint) -> bool {
        let is_known = self.loads.get(&endpoint.node).is_some_and(|load| load.mean().is_some());
        !is_known && !endpoint.is_silent
    }

    fn best<'a>(
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
            (is_ejected, self.loss(now, call, endpoint, load))
        };
        endpoints
            // A small draw spreads calls over endpoints of the same cost.
            .map(|endpoint| (cost(endpoint), rng.random_range(0.0..0.01), endpoint))
            .min_by(|((a_over, a), a_draw, _), ((b_over, b), b_draw, _)| {
                a_over.cmp(b_over).then((a + a_draw).total_cmp(&(b + b_draw)))
            })
            .map(|(_, _, endpoint)| endpoint)
    }

    /// The expected loss of a call at `endpoint`, in parts of the call's worth.
    fn loss(
        &self,
        now: Instant,
        call: &LoadBalancerContext<'_>,
        endpoint: &Endpoint,
        load: &EndpointLoad,
    ) -> f64 {
        let route = call.route;
        let estimate = Self::expected_latency(now, route, endpoint, load);
        let target = Micros::from(route.target_latency).get() as f64;
        let is_far = endpoint.data_centre != self.data_centre;
        let size = self.sizes.get(&route.name).copied().unwrap_or(Self::HEADS / 1_000.0);
        let crossing = if is_far { Self::CROSSING_KILOBYTE * size } else { 0.0 };
        Self::LATE * Self::beyond(estimate, call.target_left)
            + Self::LOST * Self::beyond(estimate, call.left)
            + Self::TIME * estimate / target.max(1.0)
            + Self::FAILURE * load.failures_at(now)
            + crossing
    }

    /// How long until an answer of `endpoint`, in microseconds.
    fn expected_latency(
        now: Instant,
        route: &MeshRoute,
        endpoint: &Endpoint,
        load: &EndpointLoad,
    ) -> f64 {
        let target = Micros::from(route.target_latency).get() as f64;
        let guess = Self::FIRST_GUESS * target;
        let run = load.expected(&route.name).map_or(guess, |run| run.get() as f64);
        let run = if endpoint.is_cold { Self::COLD * run } else { run };
        let mean = load.mean().map_or(run, |mean| mean.get() as f64);
        let slots = f64::from(endpoint.slots.max(1));
        let calls_ahead = (f64::from(load.calls_ahead(now, &route.name)) + 1.0 - slots).max(0.0);
        run + Self::WAIT * calls_ahead * mean / slots
    }

    /// The probability that a call takes longer than `limit`.
    fn beyond(estimate: f64, limit: Micros) -> f64 {
        let ratio = estimate.max(1.0) / (limit.get() as f64).max(1.0);
        1.0 / (1.0 + (-ratio.ln() / Self::SPREAD).exp())
    }
}

/// A call for which an endpoint is chosen.
#[derive(Debug, Clone, Copy)]
pub struct LoadBalancerContext<'a> {
    /// The route.
    pub route: &'a MeshRoute,
    /// The time until an answer is late.
    pub target_left: Micros,
    /// The time until the caller has no use for an answer.
    pub left: Micros,
    /// Whether it goes to the new version of a rollout, as [`LoadBalancer::sends_to_new`] said.
    pub to_new: bool,
    /// The nodes that were tried.
    pub tried: &'a [NodeId],
}

fn burst(now: Instant, endpoints: &ServiceEndpoints) -> Option<u64> {
    match &endpoints.rule {
        VersionRule::Shift(shift) => shift.burst(now),
        _ => None,
    }
}

/// The endpoint that takes all calls of a burst. Every node chooses the same one.
fn canary(endpoints: &ServiceEndpoints, burst: u64) -> Option<&Endpoint> {
    let VersionRule::Shift(shift) = &endpoints.rule else { return None };
    let is_new = |endpoint: &&Endpoint| endpoint.version == shift.target && !endpoint.is_silent;
    let mut new: Vec<&Endpoint> = endpoints.endpoints.iter().filter(is_new).collect();
    new.sort_by(|a, b| a.node.cmp(&b.node));
    let count = u64::try_from(new.len()).ok().filter(|count| *count > 0)?;
    new.get(usize::try_from(burst % count).ok()?).copied()
}
