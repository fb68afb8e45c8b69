//! The mark of a stopped version.

use std::fmt;

use crate::ids::{RouteName, ServiceName, VersionName};

/// Keeps a version from receiving traffic on one route or on all.
///
/// Nodes only ever add marks; only an operator's command removes one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StopMark {
    /// The service of the stopped version.
    pub service: ServiceName,
    /// The version that receives no traffic.
    pub version: VersionName,
    /// The route on which the version is stopped; `None` stops it on every route.
    pub route: Option<RouteName>,
}

impl StopMark {
    /// Returns whether this mark stops `version` of `service` on `route`.
    pub fn applies_to(
        &self,
        service: &ServiceName,
        version: &VersionName,
        route: &RouteName,
    ) -> bool {
        self.service == *service
            && self.version == *version
            && self.route.as_ref().is_none_or(|stopped| stopped == route)
    }
}

impl fmt::Display for StopMark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.version)?;
        match &self.route {
            Some(route) => write!(f, " on {route}"),
            None => f.write_str(" on every route"),
        }
    }
}
