//! The settings of a service in the configuration.

/// The settings of a service in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The number of connections that one backend server of the service accepts from all nodes.
    pub connections: u32,
}
