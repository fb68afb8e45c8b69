//! The mark of a stopped version.

use std::fmt;

use crate::ids::{RouteName, ServiceName, VersionName};

/// States that a version receives no traffic, on one route or on all.
///
/// The set of marks only grows, except by an operator's command.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StopMark {
    /// The service of the stopped version.
    pub service: ServiceName,
    /// The stopped version.
    pub version: VersionName,
    /// The route on which it is stopped; `None` stops it on all.
    pub route: Option<RouteName>,
}

impl StopMark {
    /// Whether this mark stops `version` of `service` on `route`.
    pub fn covers(&self, service: &ServiceName, version: &VersionName, route: &RouteName) -> bool {
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
