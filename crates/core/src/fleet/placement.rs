//! Where a call goes.

use std::collections::HashMap;

use rand::Rng;

use crate::fleet::{DoorLoad, MeshRoute, RemoteDoor, ServiceDoors, VersionRule};
use crate::ids::{DataCentre, NodeId, RouteName, ServiceName};
use crate::store::Revision;
use crate::units::{ByteCount, Instant, Micros};

/// Chooses the door of each call by what this node saw of the doors.
///
/// Answers the load pattern in which the servers of one service differ in speed and a data
/// centre has more calls than its own server can run: a call goes where its expected loss
/// is least, of lateness, failure and bytes between data centres.
#[derive(Debug)]
pub struct Placement {
    data_centre: DataCentre,
    loads: HashMap<NodeId, DoorLoad>,
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

impl Placement {
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
    /// What the time itself costs, for each target latency. Decides between doors that are
    /// all in time.
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
    /// One of this many idempotent calls goes to a door that was never called, if there is
    /// one: a server that has joined shows what it can do only by calls.
    const EXPLORE: u32 = 16;
    /// The weight of the newest call in the size of a route's calls.
    const SIZE_WEIGHT: f64 = 0.1;

    /// Chooses for a node in `data_centre`.
    pub fn new(data_centre: DataCentre) -> Self {
        Self { data_centre, loads: HashMap::new(), shifts: HashMap::new(), sizes: HashMap::new() }
    }

    /// What is known of the door of `node`.
    pub fn load(&mut self, node: &NodeId) -> &mut DoorLoad {
        if !self.loads.contains_key(node) {
            self.loads.insert(node.clone(), DoorLoad::default());
        }
        self.loads.get_mut(node).expect("the entry was inserted above")
    }

    /// A call of `route` was answered; its bodies have `size` together.
    pub fn sized(&mut self, route: &RouteName, size: ByteCount) {
        let size = (size.get() as f64 + Self::HEADS) / 1_000.0;
        match self.sizes.get_mut(route) {
            Some(mean) => *mean += Self::SIZE_WEIGHT * (size - *mean),
            None => {
                self.sizes.insert(route.clone(), size);
            }
        }
    }

    /// Whether the first try of a call goes to the new version of a rollout. Counts the call.
    pub fn sends_to_new(
        &mut self,
        now: Instant,
        service: &ServiceName,
        doors: &ServiceDoors,
    ) -> bool {
        let VersionRule::Shift(shift) = &doors.rule else { return false };
        let has_new = doors.doors.iter().any(|door| door.version == shift.target);
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

    /// The door for `call`. At a full shift the old version stands in for a new one without doors.
    pub fn choose<'a>(
        &self,
        now: Instant,
        call: &PlacedCall<'_>,
        doors: &'a ServiceDoors,
        rng: &mut impl Rng,
    ) -> Option<&'a RemoteDoor> {
        if call.to_new
            && let Some(pulse) = pulse(now, doors)
            && let Some(door) = canary(doors, pulse)
            && !call.tried.contains(&door.node)
        {
            return Some(door);
        }
        let allowed = |to_new: bool| {
            let fits = move |door: &&RemoteDoor| {
                !call.tried.contains(&door.node) && doors.rule.allows(&door.version, to_new)
            };
            doors.doors.iter().filter(fits)
        };
        let is_explorer = call.route.idempotent && rng.random_range(0..Self::EXPLORE) == 0;
        if is_explorer && let Some(door) = allowed(call.to_new).find(|door| self.is_unknown(door)) {
            return Some(door);
        }
        let is_shift = matches!(doors.rule, VersionRule::Shift(_));
        let wanted = self.best(now, call, allowed(call.to_new), rng);
        wanted.or_else(|| {
            let has_substitute = is_shift && call.to_new;
            has_substitute.then(|| self.best(now, call, allowed(false), rng)).flatten()
        })
    }

    /// How long an answer of `door` to a call of `route` is likely to take, and the calls that
    /// run or wait before it.
    pub fn outlook(&self, now: Instant, route: &MeshRoute, door: &RemoteDoor) -> (Micros, u32) {
        let unknown = DoorLoad::default();
        let load = self.loads.get(&door.node).unwrap_or(&unknown);
        let estimate = Self::estimate(now, route, door, load);
        (Micros::new(estimate as u64), load.ahead(now, &route.name))
    }

    /// How old the last report of a node's door is; `None` if there was none.
    pub fn report_age(&self, now: Instant, node: &NodeId) -> Option<Micros> {
        self.loads.get(node)?.reported_at().map(|at| now.since(at))
    }

    /// When the door whose load is known for longest reported it, of those whose report still
    /// decides where calls go.
    pub fn oldest_report(&self, now: Instant) -> Option<Instant> {
        let reports = self.loads.values().filter_map(DoorLoad::reported_at);
        reports.filter(|at| now.since(*at) < DoorLoad::REPORT_LIFE.into()).min()
    }

    /// Whether this node never had an answer of `door`.
    fn is_unknown(&self, door: &RemoteDoor) -> bool {
        let is_known = self.loads.get(&door.node).is_some_and(|load| load.mean().is_some());
        !is_known && !door.is_silent
    }

    fn best<'a>(
        &self,
        now: Instant,
        call: &PlacedCall<'_>,
        doors: impl Iterator<Item = &'a RemoteDoor>,
        rng: &mut impl Rng,
    ) -> Option<&'a RemoteDoor> {
        let unknown = DoorLoad::default();
        let cost = |door: &'a RemoteDoor| {
            let load = self.loads.get(&door.node).unwrap_or(&unknown);
            let passed_over = load.is_avoided(now) || door.is_silent;
            (passed_over, self.loss(now, call, door, load))
        };
        doors
            // A small draw spreads calls over doors of the same cost.
            .map(|door| (cost(door), rng.random_range(0.0..0.01), door))
            .min_by(|((a_over, a), a_draw, _), ((b_over, b), b_draw, _)| {
                a_over.cmp(b_over).then((a + a_draw).total_cmp(&(b + b_draw)))
            })
            .map(|(_, _, door)| door)
    }

    /// The expected loss of a call at `door`, in parts of the call's worth.
    fn loss(&self, now: Instant, call: &PlacedCall<'_>, door: &RemoteDoor, load: &DoorLoad) -> f64 {
        let route = call.route;
        let estimate = Self::estimate(now, route, door, load);
        let target = Micros::from(route.target_latency).get() as f64;
        let is_far = door.data_centre != self.data_centre;
        let size = self.sizes.get(&route.name).copied().unwrap_or(Self::HEADS / 1_000.0);
        let crossing = if is_far { Self::CROSSING_KILOBYTE * size } else { 0.0 };
        Self::LATE * Self::beyond(estimate, call.target_left)
            + Self::LOST * Self::beyond(estimate, call.left)
            + Self::TIME * estimate / target.max(1.0)
            + Self::FAILURE * load.failures_at(now)
            + crossing
    }

    /// How long until an answer of `door`, in microseconds.
    fn estimate(now: Instant, route: &MeshRoute, door: &RemoteDoor, load: &DoorLoad) -> f64 {
        let target = Micros::from(route.target_latency).get() as f64;
        let guess = Self::FIRST_GUESS * target;
        let run = load.expected(&route.name).map_or(guess, |run| run.get() as f64);
        let run = if door.is_cold { Self::COLD * run } else { run };
        let mean = load.mean().map_or(run, |mean| mean.get() as f64);
        let slots = f64::from(door.slots.max(1));
        let ahead = (f64::from(load.ahead(now, &route.name)) + 1.0 - slots).max(0.0);
        run + Self::WAIT * ahead * mean / slots
    }

    /// The probability that a call takes longer than `limit`.
    fn beyond(estimate: f64, limit: Micros) -> f64 {
        let ratio = estimate.max(1.0) / (limit.get() as f64).max(1.0);
        1.0 / (1.0 + (-ratio.ln() / Self::SPREAD).exp())
    }
}

/// A call for which a door is chosen.
#[derive(Debug, Clone, Copy)]
pub struct PlacedCall<'a> {
    /// The route.
    pub route: &'a MeshRoute,
    /// The time until an answer is late.
    pub target_left: Micros,
    /// The time until the caller has no use for an answer.
    pub left: Micros,
    /// Whether it goes to the new version of a rollout, as [`Placement::sends_to_new`] said.
    pub to_new: bool,
    /// The nodes whose doors were tried.
    pub tried: &'a [NodeId],
}

fn pulse(now: Instant, doors: &ServiceDoors) -> Option<u64> {
    match &doors.rule {
        VersionRule::Shift(shift) => shift.pulse(now),
        _ => None,
    }
}

/// The door that takes all calls of a pulse. Every node chooses the same one.
fn canary(doors: &ServiceDoors, pulse: u64) -> Option<&RemoteDoor> {
    let VersionRule::Shift(shift) = &doors.rule else { return None };
    let is_new = |door: &&RemoteDoor| door.version == shift.target && !door.is_silent;
    let mut new: Vec<&RemoteDoor> = doors.doors.iter().filter(is_new).collect();
    new.sort_by(|a, b| a.node.cmp(&b.node));
    let count = u64::try_from(new.len()).ok().filter(|count| *count > 0)?;
    new.get(usize::try_from(pulse % count).ok()?).copied()
}
