//! How long the calls of each route run.

use std::collections::HashMap;

use crate::ids::RouteName;
use crate::units::Micros;

/// How long the calls of each route run at one backend server, learned as they end.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<RouteName, RouteTime>,
    /// Over all routes, weighted as they come.
    mean: Option<f64>,
    /// Over all routes, for the mean by how long a call holds a slot.
    slots: Option<SlotTime>,
}

/// Means over the last calls of a route.
#[derive(Debug, Clone, Copy)]
struct RouteTime {
    /// Follows a server that turns slow or fast.
    recent: f64,
    /// Steady under the spread of single calls.
    steady: f64,
    /// The calls in the steady mean.
    calls: u32,
}

/// Means over the last calls of their time and its square.
#[derive(Debug, Clone, Copy)]
struct SlotTime {
    time: f64,
    square: f64,
    calls: u32,
}

impl ServiceTimes {
    /// The weight of the newest call: the estimate follows a server that turns slow
    /// within about ten calls.
    const WEIGHT: f64 = 0.15;
    /// The calls that a steady mean takes in; a short series is weighted evenly, so that its
    /// first call does not decide.
    const STEADY_CALLS: u32 = 50;
    /// Routes beyond this number are not learned; a configuration replaces routes over time.
    pub(super) const MAX_ROUTES: usize = 4_096;

    /// Learns that a call of `route` ran for `took`.
    pub fn learn(&mut self, route: &RouteName, took: Micros) {
        let took = took.get() as f64;
        self.learn_slot_time(took);
        let follow = |mean: &mut f64| *mean += Self::WEIGHT * (took - *mean);
        match &mut self.mean {
            Some(mean) => follow(mean),
            None => self.mean = Some(took),
        }
        if let Some(time) = self.routes.get_mut(route) {
            follow(&mut time.recent);
            time.calls = time.calls.saturating_add(1);
            time.steady += Self::steady_weight(time.calls) * (took - time.steady);
        } else if self.routes.len() < Self::MAX_ROUTES {
            self.routes.insert(route.clone(), RouteTime { recent: took, steady: took, calls: 1 });
        }
    }

    fn learn_slot_time(&mut self, took: f64) {
        let square = took * took;
        let slots = self.slots.get_or_insert(SlotTime { time: took, square, calls: 0 });
        slots.calls = slots.calls.saturating_add(1);
        let weight = Self::steady_weight(slots.calls);
        slots.time += weight * (took - slots.time);
        slots.square += weight * (square - slots.square);
    }

    /// The weight of the newest of `calls` in a steady mean.
    fn steady_weight(calls: u32) -> f64 {
        1.0 / f64::from(calls.min(Self::STEADY_CALLS))
    }

    /// How long a call of `route` is likely to run; `None` before the first one ended.
    pub fn expected(&self, route: &RouteName) -> Option<Micros> {
        let recent = self.routes.get(route).map(|time| time.recent);
        recent.or(self.mean).map(|mean| Micros::new(mean as u64))
    }

    /// How long a call of `route` runs; `None` before one of that route ended.
    pub fn known(&self, route: &RouteName) -> Option<Micros> {
        self.routes.get(route).map(|time| Micros::new(time.recent as u64))
    }

    /// The part that a call of `route` takes of the mean time of the calls that hold a slot at
    /// any moment; `None` before one of that route ended. A call counts in that mean by how
    /// long it holds a slot.
    pub fn part_of_slot_time(&self, route: &RouteName) -> Option<f64> {
        let (time, slots) = (self.routes.get(route)?, self.slots?);
        Some(time.steady * slots.time.max(1.0) / slots.square.max(1.0))
    }

    /// The mean over all calls; `None` before the first one ended.
    pub fn mean(&self) -> Option<Micros> {
        self.mean.map(|mean| Micros::new(mean as u64))
    }
}
