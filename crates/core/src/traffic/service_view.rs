//! A service as traffic sees it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::VersionName;
use crate::traffic::Endpoint;

/// A service as traffic sees it.
#[derive(Debug, Clone, Default)]
pub struct ServiceView {
    /// The backend servers that take calls, by version.
    pub endpoints: BTreeMap<VersionName, Arc<[Endpoint]>>,
}
