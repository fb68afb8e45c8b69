//! One edit of a configuration's content.

use crate::config::{ConfigContent, Rollout, Route, ServerVersion, Service, StopMark};
use crate::ids::{RouteName, ServiceName};

/// An edit of one entry of a configuration's content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edit {
    /// Adds a service or replaces the one of the same name.
    PutService(Service),
    /// Removes the service of this name.
    RemoveService(ServiceName),
    /// Adds a route or replaces the one of the same name.
    PutRoute(Route),
    /// Removes the route of this name.
    RemoveRoute(RouteName),
    /// Adds a version of a service.
    PutVersion(ServerVersion),
    /// Removes a version of a service.
    RemoveVersion(ServerVersion),
    /// Adds a rollout or replaces the one of the same service.
    PutRollout(Rollout),
    /// Removes the last rollout of this service.
    RemoveRollout(ServiceName),
    /// Adds a stop mark of a version.
    PutStop(StopMark),
    /// Removes a stop mark of a version.
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
