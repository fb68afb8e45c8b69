//! An endpoint that the balancer may choose.

use crate::traffic::{Endpoint, EndpointLoad};

/// An endpoint that the balancer may choose, with its observed load.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The announced properties of the endpoint.
    pub endpoint: &'a Endpoint,
    /// The load of the endpoint as this node observes it.
    pub load: &'a EndpointLoad,
}
