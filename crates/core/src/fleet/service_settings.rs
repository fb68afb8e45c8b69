//! The settings of a service in the configuration.

use std::sync::Arc;

use crate::fleet::ColdLimit;

/// The settings of a service in the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The number of connections that one backend server of the service accepts from all nodes.
    pub connections: u32,
    /// The limit on the calls of a cold server; `None` if a cold server is merely slow.
    pub cold_limit: Option<ColdLimit>,
    /// The path at which a server of the service answers health checks; `None` if it has none.
    pub health_path: Option<Arc<str>>,
}
