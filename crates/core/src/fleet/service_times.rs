//! How long the calls of each route run.

use std::collections::HashMap;

use crate::ids::RouteName;
use crate::units::Micros;

/// How long the calls of each route run at one backend server, learned as they end.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<RouteName, RouteMeans>,
    /// Over all routes, weighted as they come.
    mean: Option<f64>,
    /// Of the times of all calls.
    mean_time: BoundedMean,
    /// Of their squares: a call holds a slot by its time, so the mean by slot is this by that.
    mean_square: BoundedMean,
}

/// Means over the last calls of a route.
#[derive(Debug, Clone, Copy)]
struct RouteMeans {
    /// Follows a server that turns slow or fast.
    recent: f64,
    /// Steady under the spread of single calls.
    long_term: BoundedMean,
}

/// A mean over the last calls that one of them changes little.
#[derive(Debug, Default, Clone, Copy)]
struct BoundedMean {
    mean: f64,
    calls: u32,
}

impl BoundedMean {
    /// The calls that it takes in; a short series is weighted evenly, so that its first call
    /// does not decide.
    const MAX_CALLS: u32 = 50;

    fn record(&mut self, value: f64) {
        self.calls = self.calls.saturating_add(1);
        self.mean += (value - self.mean) / f64::from(self.calls.min(Self::MAX_CALLS));
    }
}

impl ServiceTimes {
    /// The weight of the newest call: the estimate follows a server that turns slow
    /// within about ten calls.
    const NEWEST_CALL_WEIGHT: f64 = 0.15;
    /// Routes beyond this number are not learned; a configuration replaces routes over time.
    pub(super) const MAX_ROUTES: usize = 4_096;

    /// Learns that a call of `route` ran for `took`.
    pub fn record(&mut self, route: &RouteName, took: Micros) {
        let took = took.get() as f64;
        self.mean_time.record(took);
        self.mean_square.record(took * took);
        let update = |mean: &mut f64| *mean += Self::NEWEST_CALL_WEIGHT * (took - *mean);
        match &mut self.mean {
            Some(mean) => update(mean),
            None => self.mean = Some(took),
        }
        if let Some(time) = self.routes.get_mut(route) {
            update(&mut time.recent);
            time.long_term.record(took);
        } else if self.routes.len() < Self::MAX_ROUTES {
            let mut long_term = BoundedMean::default();
            long_term.record(took);
            self.routes.insert(route.clone(), RouteMeans { recent: took, long_term });
        }
    }

    /// How long a call of `route` is likely to run; `None` before the first one ended.
    pub fn expected(&self, route: &RouteName) -> Option<Micros> {
        let recent = self.routes.get(route).map(|time| time.recent);
        recent.or(self.mean).map(|mean| Micros::new(mean as u64))
    }

    /// How long a call of `route` runs; `None` before one of that route ended.
    pub fn route_mean(&self, route: &RouteName) -> Option<Micros> {
        self.routes.get(route).map(|time| Micros::new(time.recent as u64))
    }

    /// The part that a call of `route` takes of the mean time of the calls that hold a slot at
    /// any moment; `None` before one of that route ended. A call counts in that mean by how
    /// long it holds a slot.
    pub fn relative_slot_time(&self, route: &RouteName) -> Option<f64> {
        let long_term = self.routes.get(route)?.long_term.mean;
        Some(long_term * self.mean_time.mean.max(1.0) / self.mean_square.mean.max(1.0))
    }

    /// The mean over all calls; `None` before the first one ended.
    pub fn mean(&self) -> Option<Micros> {
        self.mean.map(|mean| Micros::new(mean as u64))
    }
}
