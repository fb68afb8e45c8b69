//! One entry that differs between two configurations.

use crate::config::{ConfigContent, Rollout, Route, ServerVersion, Service, StopMark};
use crate::ids::{RouteName, ServiceName};

/// One entry that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Adds or replaces a service.
    PutService(Service),
    /// Removes a service.
    RemoveService(ServiceName),
    /// Adds or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    RemoveRoute(RouteName),
    /// Adds a version.
    PutVersion(ServerVersion),
    /// Removes a version.
    RemoveVersion(ServerVersion),
    /// Adds or replaces a rollout.
    PutRollout(Rollout),
    /// Removes a rollout.
    RemoveRollout(ServiceName),
    /// Adds a stop mark.
    PutStop(StopMark),
    /// Removes a stop mark.
    RemoveStop(StopMark),
}

impl Edit {
    pub(super) fn apply(&self, content: &mut ConfigContent) {
        match self {
            Self::PutService(service) => {
                content.services.insert(service.name.clone(), service.clone());
            }
            Self::RemoveService(name) => {
                content.services.remove(name);
            }
            Self::PutRoute(route) => {
                content.routes.insert(route.name.clone(), route.clone());
            }
            Self::RemoveRoute(name) => {
                content.routes.remove(name);
            }
            Self::PutVersion(version) => {
                content.versions.insert(version.clone());
            }
            Self::RemoveVersion(version) => {
                content.versions.remove(version);
            }
            Self::PutRollout(rollout) => {
                content.rollouts.insert(rollout.service.clone(), rollout.clone());
            }
            Self::RemoveRollout(service) => {
                content.rollouts.remove(service);
            }
            Self::PutStop(stop) => {
                content.stops.insert(stop.clone());
            }
            Self::RemoveStop(stop) => {
                content.stops.remove(stop);
            }
        }
    }
}
