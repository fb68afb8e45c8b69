//! The effects of changes on the content of a configuration.

use std::sync::Arc;

use crate::config::{
    ConfigContent, ConfigError, Rollout, RolloutPhase, Route, ServerVersion, Service, StopMark,
};
use crate::ids::{RouteName, ServiceName, TeamName, VersionName};
use crate::units::{PerMille, UnixMillis};

/// The new version's shares of calls after a step of a rollout.
pub(super) struct Step {
    pub(super) share: PerMille,
    pub(super) non_idempotent_share: PerMille,
}

pub(super) fn create_service(
    content: &mut ConfigContent,
    name: &ServiceName,
    team: &TeamName,
) -> Result<(), ConfigError> {
    if content.services.contains_key(name) {
        return Err(ConfigError::ServiceExists(name.clone()));
    }
    let service = Service { name: name.clone(), team: team.clone(), stable: None };
    content.services.insert(name.clone(), service);
    Ok(())
}

pub(super) fn remove_service(
    content: &mut ConfigContent,
    name: &ServiceName,
) -> Result<(), ConfigError> {
    if content.services.remove(name).is_none() {
        return Err(ConfigError::UnknownService(name.clone()));
    }
    if content.routes.values().any(|route| route.service == *name) {
        return Err(ConfigError::ServiceHasRoutes(name.clone()));
    }
    content.versions.retain(|version| version.service != *name);
    content.rollouts.remove(name);
    content.stops.retain(|stop| stop.service != *name);
    Ok(())
}

pub(super) fn create_route(content: &mut ConfigContent, route: &Route) -> Result<(), ConfigError> {
    if content.routes.contains_key(&route.name) {
        return Err(ConfigError::RouteExists(route.name.clone()));
    }
    content.routes.insert(route.name.clone(), route.clone());
    Ok(())
}

pub(super) fn replace_route(content: &mut ConfigContent, route: &Route) -> Result<(), ConfigError> {
    match content.routes.get_mut(&route.name) {
        Some(old) => {
            *old = route.clone();
            Ok(())
        }
        None => Err(ConfigError::UnknownRoute(route.name.clone())),
    }
}

pub(super) fn remove_route(
    content: &mut ConfigContent,
    name: &RouteName,
) -> Result<(), ConfigError> {
    if content.routes.remove(name).is_none() {
        return Err(ConfigError::UnknownRoute(name.clone()));
    }
    content.stops.retain(|stop| stop.route.as_ref() != Some(name));
    Ok(())
}

pub(super) fn create_version(
    content: &mut ConfigContent,
    version: &ServerVersion,
) -> Result<(), ConfigError> {
    let Some(service) = content.services.get_mut(&version.service) else {
        return Err(ConfigError::UnknownService(version.service.clone()));
    };
    if !content.versions.insert(version.clone()) {
        return Err(ConfigError::VersionExists(version.service.clone(), version.version.clone()));
    }
    service.stable.get_or_insert_with(|| version.version.clone());
    Ok(())
}

pub(super) fn remove_version(
    content: &mut ConfigContent,
    version: &ServerVersion,
) -> Result<(), ConfigError> {
    if !content.versions.remove(version) {
        return Err(unknown_version(version));
    }
    let is_stable = content
        .services
        .get(&version.service)
        .is_some_and(|service| service.stable.as_ref() == Some(&version.version));
    let rollout = content.rollouts.get(&version.service);
    let uses = |r: &Rollout| r.from == version.version || r.to == version.version;
    if is_stable || rollout.is_some_and(|r| r.phase.is_open() && uses(r)) {
        return Err(ConfigError::VersionInUse(version.service.clone(), version.version.clone()));
    }
    if rollout.is_some_and(uses) {
        content.rollouts.remove(&version.service);
    }
    content.stops.retain(|stop| stop.service != version.service || stop.version != version.version);
    Ok(())
}

pub(super) fn start_rollout(
    content: &mut ConfigContent,
    service: &ServiceName,
    to: &VersionName,
    deadline: UnixMillis,
    now: UnixMillis,
) -> Result<(), ConfigError> {
    let owner = content
        .services
        .get(service)
        .ok_or_else(|| ConfigError::UnknownService(service.clone()))?;
    let from = owner.stable.clone().ok_or_else(|| ConfigError::NoStableVersion(service.clone()))?;
    if content.rollouts.get(service).is_some_and(|r| r.phase.is_open()) {
        return Err(ConfigError::RolloutOpen(service.clone()));
    }
    if content.stops.iter().any(|s| s.service == *service && s.version == *to) {
        return Err(ConfigError::VersionStopped(service.clone(), to.clone()));
    }
    if deadline <= now {
        return Err(ConfigError::RolloutDeadline(service.clone()));
    }
    let rollout = Rollout {
        service: service.clone(),
        from,
        to: to.clone(),
        started: now,
        deadline,
        phase: RolloutPhase::Ramping,
        share: PerMille::ZERO,
        non_idempotent_share: PerMille::ZERO,
        changed: now,
        reason: "started by an operator".into(),
    };
    content.rollouts.insert(service.clone(), rollout);
    Ok(())
}

pub(super) fn set_phase(
    content: &mut ConfigContent,
    service: &ServiceName,
    phase: RolloutPhase,
    reason: &str,
    now: UnixMillis,
) -> Result<(), ConfigError> {
    let rollout = content
        .rollouts
        .get_mut(service)
        .filter(|rollout| rollout.phase.is_open())
        .ok_or_else(|| ConfigError::NoOpenRollout(service.clone()))?;
    rollout.phase = phase;
    rollout.changed = now;
    rollout.reason = reason.into();
    Ok(())
}

pub(super) fn step_rollout(
    content: &mut ConfigContent,
    expected: &Rollout,
    step: Step,
    reason: &Arc<str>,
    now: UnixMillis,
) -> Result<(), ConfigError> {
    let name = &expected.service;
    let rollout = content
        .rollouts
        .get_mut(name)
        .filter(|rollout| *rollout == expected && rollout.phase == RolloutPhase::Ramping)
        .ok_or_else(|| ConfigError::RolloutChanged(name.clone()))?;
    rollout.share = step.share;
    rollout.non_idempotent_share = step.non_idempotent_share;
    rollout.changed = now;
    rollout.reason = reason.clone();
    if step.non_idempotent_share == PerMille::MAX {
        rollout.phase = RolloutPhase::Completed;
        let to = rollout.to.clone();
        if let Some(service) = content.services.get_mut(name) {
            service.stable = Some(to);
        }
    }
    Ok(())
}

pub(super) fn roll_back(
    content: &mut ConfigContent,
    service: &ServiceName,
    reason: &Arc<str>,
    now: UnixMillis,
) -> Result<(), ConfigError> {
    let rollout = content
        .rollouts
        .get(service)
        .filter(|rollout| rollout.phase != RolloutPhase::RolledBack)
        .ok_or_else(|| ConfigError::NoOpenRollout(service.clone()))?;
    let mark = rollout_stop(rollout);
    add_stops(content, &[mark], reason, now);
    Ok(())
}

/// Returns the mark that stops the new version of `rollout` on every route.
pub(super) fn rollout_stop(rollout: &Rollout) -> StopMark {
    StopMark { service: rollout.service.clone(), version: rollout.to.clone(), route: None }
}

/// Adds `marks` and rolls back the rollouts to the versions that they stop, on whichever route.
pub(super) fn add_stops(
    content: &mut ConfigContent,
    marks: &[StopMark],
    reason: &Arc<str>,
    now: UnixMillis,
) {
    for mark in marks {
        content.stops.insert(mark.clone());
        let Some(rollout) = content.rollouts.get_mut(&mark.service) else {
            continue;
        };
        if rollout.to != mark.version || rollout.phase == RolloutPhase::RolledBack {
            continue;
        }
        rollout.phase = RolloutPhase::RolledBack;
        rollout.share = PerMille::ZERO;
        rollout.non_idempotent_share = PerMille::ZERO;
        rollout.changed = now;
        rollout.reason = reason.clone();
        let from = rollout.from.clone();
        if let Some(service) = content.services.get_mut(&mark.service) {
            service.stable = Some(from);
        }
    }
}

pub(super) fn clear_stop(
    content: &mut ConfigContent,
    version: &ServerVersion,
) -> Result<(), ConfigError> {
    let count = content.stops.len();
    content.stops.retain(|stop| stop.service != version.service || stop.version != version.version);
    if content.stops.len() == count {
        return Err(ConfigError::NotStopped(version.service.clone(), version.version.clone()));
    }
    Ok(())
}

/// Replaces the content by `earlier`, and keeps the current stop marks whose version and route
/// exist there.
pub(super) fn restore(content: &mut ConfigContent, earlier: &ConfigContent) {
    let stops = std::mem::take(&mut content.stops);
    *content = earlier.clone();
    let has_version = |stop: &StopMark| {
        let version =
            ServerVersion { service: stop.service.clone(), version: stop.version.clone() };
        earlier.versions.contains(&version)
    };
    let has_route =
        |stop: &StopMark| stop.route.as_ref().is_none_or(|r| earlier.routes.contains_key(r));
    content.stops.extend(stops.into_iter().filter(|stop| has_version(stop) && has_route(stop)));
}

pub(super) fn unknown_version(version: &ServerVersion) -> ConfigError {
    ConfigError::UnknownVersion(version.service.clone(), version.version.clone())
}
