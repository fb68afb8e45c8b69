//! Where a call goes.

use std::collections::HashMap;

use rand::Rng;

use crate::fleet::{DoorLoad, MeshRoute, RemoteDoor, ServiceDoors, VersionRule};
use crate::ids::{DataCentre, NodeId, ServiceName};
use crate::store::Revision;
use crate::units::{Instant, Micros};

/// Chooses the door of each call by what this node saw of the doors.
///
/// Answers the load pattern in which the servers of one service differ in speed and a data
/// centre has more calls than its own server can run: a call stays in its own data centre until
/// another door is likely to answer earlier by a fifth of the route's target latency.
#[derive(Debug)]
pub struct Placement {
    data_centre: DataCentre,
    loads: HashMap<NodeId, DoorLoad>,
    shifts: HashMap<ServiceName, ShiftCount>,
}

/// The calls of a service since an order, and how many went to the new version.
#[derive(Debug, Clone, Copy)]
struct ShiftCount {
    order: Revision,
    all: u64,
    new: u64,
}

impl Placement {
    /// What a call to another data centre costs: this part of the target latency.
    const CROSSING: f64 = 0.2;
    /// What a failure costs, in target latencies: the caller may have to start over.
    const FAILURE: f64 = 2.0;
    /// The first guess at the time of a call, as a part of the target latency.
    const FIRST_GUESS: f64 = 0.3;
    /// How much longer calls run at a server that has just started.
    const COLD: f64 = 2.0;

    /// Chooses for a node in `data_centre`.
    pub fn new(data_centre: DataCentre) -> Self {
        Self { data_centre, loads: HashMap::new(), shifts: HashMap::new() }
    }

    /// What is known of the door of `node`.
    pub fn load(&mut self, node: &NodeId) -> &mut DoorLoad {
        if !self.loads.contains_key(node) {
            self.loads.insert(node.clone(), DoorLoad::default());
        }
        self.loads.get_mut(node).expect("the entry was inserted above")
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

    /// The door for a call of `route`, not one of `tried`. `to_new` as [`Self::sends_to_new`]
    /// said; the other version is taken if the wanted one has no door.
    pub fn choose<'a>(
        &self,
        now: Instant,
        route: &MeshRoute,
        doors: &'a ServiceDoors,
        to_new: bool,
        tried: &[NodeId],
        rng: &mut impl Rng,
    ) -> Option<&'a RemoteDoor> {
        if to_new
            && let Some(pulse) = pulse(now, doors)
            && let Some(door) = canary(doors, pulse)
            && !tried.contains(&door.node)
        {
            return Some(door);
        }
        let fits = |door: &&RemoteDoor| !tried.contains(&door.node);
        let allowed = |to_new: bool| {
            let rule = &doors.rule;
            doors.doors.iter().filter(fits).filter(move |door| rule.allows(&door.version, to_new))
        };
        let is_shift = matches!(doors.rule, VersionRule::Shift(_));
        self.best(now, route, allowed(to_new), rng).or_else(|| {
            // At a full shift the old version stands in for a new one without doors.
            let is_full = is_shift && to_new;
            is_full.then(|| self.best(now, route, allowed(false), rng)).flatten()
        })
    }

    fn best<'a>(
        &self,
        now: Instant,
        route: &MeshRoute,
        doors: impl Iterator<Item = &'a RemoteDoor>,
        rng: &mut impl Rng,
    ) -> Option<&'a RemoteDoor> {
        let cost = |door: &'a RemoteDoor, rng: &mut dyn rand::RngCore| {
            let load = self.loads.get(&door.node).copied().unwrap_or_default();
            let passed_over = load.is_avoided(now) || door.is_silent;
            // A small draw spreads calls over doors of the same cost.
            let cost = self.cost(now, route, door, &load) * rng.random_range(0.98..1.02);
            (passed_over, cost)
        };
        doors
            .map(|door| (cost(door, rng), door))
            .min_by(|((a_over, a), _), ((b_over, b), _)| a_over.cmp(b_over).then(a.total_cmp(b)))
            .map(|(_, door)| door)
    }

    /// The time until an answer of `door`, with what else a call there costs, in microseconds.
    fn cost(&self, now: Instant, route: &MeshRoute, door: &RemoteDoor, load: &DoorLoad) -> f64 {
        let target = Micros::from(route.target_latency).get() as f64;
        let mean = load.mean().map_or(Self::FIRST_GUESS * target, |mean| mean.get() as f64);
        let run = if door.is_cold { Self::COLD * mean } else { mean };
        let slots = f64::from(door.slots.max(1));
        let beyond = (f64::from(load.estimate(now)) + 1.0 - slots).max(0.0);
        let wait = beyond * run / slots;
        let is_far = door.data_centre != self.data_centre;
        let crossing = if is_far { Self::CROSSING * target } else { 0.0 };
        run + wait + crossing + Self::FAILURE * target * load.failures_at(now)
    }
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
