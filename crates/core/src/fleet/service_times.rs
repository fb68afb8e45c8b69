//! Run times of the calls of each route.

use std::collections::HashMap;

use crate::ids::RouteName;
use crate::units::Micros;

/// Estimates how long the calls of each route run at one backend server, from calls that ended.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<RouteName, RouteMeans>,
    /// The moving mean of the run times of all routes' calls, in microseconds.
    recent_mean: Option<f64>,
    /// The long-term mean of the run times of all calls.
    long_term_mean: BoundedMean,
    /// The long-term mean of the squares of all run times. A call holds a slot for its run time, so
    /// this divided by the mean is the mean run time of the calls that hold slots.
    long_term_mean_square: BoundedMean,
}

/// Mean run times of the last calls of a route, in microseconds.
#[derive(Debug, Clone, Copy)]
struct RouteMeans {
    /// A moving mean that follows a server which becomes slow or fast.
    recent: f64,
    /// A mean that the spread of single calls changes little.
    long_term: BoundedMean,
}

/// A mean over the last calls in which a single call weighs little.
#[derive(Debug, Default, Clone, Copy)]
struct BoundedMean {
    mean: f64,
    calls: u32,
}

impl BoundedMean {
    /// The newest value weighs one in this many. A shorter series is weighted evenly, so that its
    /// first call does not dominate.
    const MAX_CALLS: u32 = 50;

    fn record(&mut self, value: f64) {
        self.calls = self.calls.saturating_add(1);
        self.mean += (value - self.mean) / f64::from(self.calls.min(Self::MAX_CALLS));
    }
}

impl ServiceTimes {
    /// The weight of the newest call in a moving mean, which follows a server that becomes slow
    /// within about ten calls.
    const NEWEST_CALL_WEIGHT: f64 = 0.15;
    /// The largest number of routes with estimates. Configurations replace routes over time, and
    /// further ones are ignored.
    pub(super) const MAX_ROUTES: usize = 4_096;

    /// Records that a call of `route` ran for `took`.
    pub fn record(&mut self, route: &RouteName, took: Micros) {
        let took = took.get() as f64;
        self.long_term_mean.record(took);
        self.long_term_mean_square.record(took * took);
        let update = |mean: &mut f64| *mean += Self::NEWEST_CALL_WEIGHT * (took - *mean);
        match &mut self.recent_mean {
            Some(mean) => update(mean),
            None => self.recent_mean = Some(took),
        }
        if let Some(means) = self.routes.get_mut(route) {
            update(&mut means.recent);
            means.long_term.record(took);
        } else if self.routes.len() < Self::MAX_ROUTES {
            let mut long_term = BoundedMean::default();
            long_term.record(took);
            self.routes.insert(route.clone(), RouteMeans { recent: took, long_term });
        }
    }

    /// Returns the expected run time of a call of `route`, which is the mean over all routes before
    /// one of that route has ended; `None` before any call has.
    pub fn expected(&self, route: &RouteName) -> Option<Micros> {
        let recent = self.routes.get(route).map(|means| means.recent);
        recent.or(self.recent_mean).map(|mean| Micros::new(mean as u64))
    }

    /// Returns the mean run time of calls of `route`; `None` before one has ended.
    pub fn route_mean(&self, route: &RouteName) -> Option<Micros> {
        self.routes.get(route).map(|means| Micros::new(means.recent as u64))
    }

    /// Returns the run time of a call of `route` relative to the mean run time of the calls that
    /// hold a slot at any moment, in which a call counts by how long it holds one; `None` before a
    /// call of the route has ended.
    pub fn relative_slot_time(&self, route: &RouteName) -> Option<f64> {
        let long_term = self.routes.get(route)?.long_term.mean;
        Some(
            long_term * self.long_term_mean.mean.max(1.0)
                / self.long_term_mean_square.mean.max(1.0),
        )
    }

    /// Returns the mean run time of all calls; `None` before the first one has ended.
    pub fn mean(&self) -> Option<Micros> {
        self.recent_mean.map(|mean| Micros::new(mean as u64))
    }
}
