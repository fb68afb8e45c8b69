//! How long the calls of each route run.

use std::collections::HashMap;

use crate::ids::RouteName;
use crate::units::Micros;

/// How long the calls of each route run at one backend server, learned as they end.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<RouteName, f64>,
    /// Over all routes, weighted as they come.
    mean: Option<f64>,
}

impl ServiceTimes {
    /// The weight of the newest call: the estimate follows a server that turns slow
    /// within about ten calls.
    const WEIGHT: f64 = 0.15;
    /// Routes beyond this number are not learned; a configuration replaces routes over time.
    const MAX_ROUTES: usize = 4_096;

    /// Learns that a call of `route` ran for `took`.
    pub fn learn(&mut self, route: &RouteName, took: Micros) {
        let took = took.get() as f64;
        let follow = |mean: &mut f64| *mean += Self::WEIGHT * (took - *mean);
        match &mut self.mean {
            Some(mean) => follow(mean),
            None => self.mean = Some(took),
        }
        if let Some(mean) = self.routes.get_mut(route) {
            follow(mean);
        } else if self.routes.len() < Self::MAX_ROUTES {
            self.routes.insert(route.clone(), took);
        }
    }

    /// How long a call of `route` is likely to run; `None` before the first one ended.
    pub fn expected(&self, route: &RouteName) -> Option<Micros> {
        self.routes.get(route).copied().or(self.mean).map(|mean| Micros::new(mean as u64))
    }

    /// How long a call of `route` runs; `None` before one of that route ended.
    pub fn known(&self, route: &RouteName) -> Option<Micros> {
        self.routes.get(route).map(|mean| Micros::new(*mean as u64))
    }

    /// The mean over all calls; `None` before the first one ended.
    pub fn mean(&self) -> Option<Micros> {
        self.mean.map(|mean| Micros::new(mean as u64))
    }
}
