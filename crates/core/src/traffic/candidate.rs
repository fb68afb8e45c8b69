//! A choice of the load balancer.

use crate::traffic::{Endpoint, EndpointLoad};

/// An endpoint with its observed load.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Its load.
    pub load: &'a EndpointLoad,
}
