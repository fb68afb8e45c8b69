//! What the configuration says of a service.

/// What the configuration says of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The connections that one of its backend servers accepts from all nodes.
    pub connections: u32,
}
