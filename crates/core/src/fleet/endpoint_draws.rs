//! Samples the endpoints that are considered for a call.

use rand::Rng;

use crate::fleet::Endpoint;
use crate::ids::DataCentre;

/// How many endpoints are drawn for a call to servers that report their rates.
///
/// What a node knows of servers that change their speed many times a second is old when it is used.
/// If every node chose among all of them, the nodes would overload the few servers that were
/// fastest a moment ago. Draws are with replacement, so that calls consider different endpoints in
/// a small fleet too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointDraws {
    /// All endpoints are considered.
    All,
    /// Endpoints are drawn at random, with replacement.
    Drawn {
        /// The number of draws from the node's own data centre.
        near: usize,
        /// The number of draws from all other data centres together.
        far: usize,
    },
}

impl Default for EndpointDraws {
    fn default() -> Self {
        Self::Drawn { near: 6, far: 2 }
    }
}

impl EndpointDraws {
    /// Draws from `endpoints` for a call of a node in `data_centre`.
    pub(super) fn draw<'a>(
        self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        data_centre: &DataCentre,
        rng: &mut impl Rng,
    ) -> Vec<&'a Endpoint> {
        let Self::Drawn { near, far } = self else { return endpoints.collect() };
        let (near_endpoints, far_endpoints): (Vec<_>, Vec<_>) =
            endpoints.partition(|endpoint| endpoint.data_centre == *data_centre);
        let mut drawn = Vec::with_capacity(near.saturating_add(far));
        for (from, draws) in [(near_endpoints, near), (far_endpoints, far)] {
            if !from.is_empty() {
                drawn.extend((0..draws).map(|_| from[rng.random_range(0..from.len())]));
            }
        }
        drawn
    }
}
