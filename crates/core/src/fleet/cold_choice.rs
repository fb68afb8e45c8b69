//! Draws which cold endpoint may take a call.

use crate::fleet::Endpoint;
use crate::ids::NodeId;

/// Draws at most one cold endpoint for each call, so that each gets as many calls as its node
/// admits.
///
/// A cold endpoint is drawn with the probability of its cold rate divided by the sum of the warm
/// rates of all endpoints. So if all nodes together send no more calls than the warm service takes,
/// no cold endpoint gets more than it admits on average.
#[derive(Debug, Default)]
pub struct ColdChoice<'a> {
    /// The cold endpoints with their cold rates in calls per second.
    cold: Vec<(&'a Endpoint, f64)>,
    /// The sum of the rates in calls per second that the endpoints take while they are warm.
    warm_rate: f64,
}

impl<'a> ColdChoice<'a> {
    /// Adds an endpoint that takes `warm_rate` calls per second while it is warm.
    pub fn add(&mut self, endpoint: &'a Endpoint, warm_rate: f64) {
        self.warm_rate += warm_rate;
        if let Some(rate) = endpoint.cold_rate {
            self.cold.push((endpoint, rate.per_second().min(warm_rate)));
        }
    }

    /// Returns whether no endpoint is cold.
    pub fn is_empty(&self) -> bool {
        self.cold.is_empty()
    }

    /// Returns the node of the endpoint that may take a call, by a `draw` from 0 to 1.
    pub fn drawn(&self, draw: f64) -> Option<&'a NodeId> {
        let mut left = draw * self.warm_rate;
        for (endpoint, rate) in &self.cold {
            if left < *rate {
                return Some(&endpoint.node);
            }
            left -= rate;
        }
        None
    }
}
