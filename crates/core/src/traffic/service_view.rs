//! The endpoints of a service.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::VersionName;
use crate::traffic::Endpoint;

/// The endpoints of a service that take calls.
#[derive(Debug, Clone, Default)]
pub struct ServiceView {
    /// The endpoints by version; draining backend servers are not included.
    pub endpoints: BTreeMap<VersionName, Arc<[Endpoint]>>,
}
