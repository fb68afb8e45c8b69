//! A change of the configuration.

use std::fmt;
use std::sync::Arc;

use crate::config::check::check;
use crate::config::{
    ConfigContent, ConfigError, Rollout, RolloutPhase, Route, ServerVersion, Service, StopMark,
};
use crate::ids::{ConfigVersion, RouteName, ServiceName, TeamName, VersionName};
use crate::units::{PerMille, UnixMillis};

/// A change that an operator, or the driver of a rollout, asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Creates a service.
    CreateService {
        /// The service.
        name: ServiceName,
        /// Its owner.
        team: TeamName,
    },
    /// Removes a service that has no routes, with its versions.
    RemoveService(ServiceName),
    /// Creates a route.
    CreateRoute(Route),
    /// Replaces a route.
    ReplaceRoute(Route),
    /// Removes a route.
    RemoveRoute(RouteName),
    /// Creates a version; the first one of a service becomes its stable version.
    CreateVersion(ServerVersion),
    /// Removes a version that takes no traffic.
    RemoveVersion(ServerVersion),
    /// Starts a rollout from the stable version.
    StartRollout {
        /// The service.
        service: ServiceName,
        /// The version that is to take all traffic.
        to: VersionName,
        /// When it is to do so.
        deadline: UnixMillis,
    },
    /// Keeps the shares of an open rollout as they are.
    HoldRollout(ServiceName),
    /// Lets a held rollout go on.
    ResumeRollout(ServiceName),
    /// Stops the new version of the last rollout and gives all traffic to the old one.
    RollBack {
        /// The service.
        service: ServiceName,
        /// Why, in one sentence.
        reason: Arc<str>,
    },
    /// Takes one step of a rollout, decided on the rollout that stood in `expected`.
    StepRollout {
        /// The rollout as it was when the step was decided.
        expected: Rollout,
        /// The share of the new version among idempotent calls.
        share: PerMille,
        /// The share of the new version among non-idempotent calls.
        non_idempotent_share: PerMille,
        /// Why, in one sentence.
        reason: Arc<str>,
    },
    /// Adds stop marks. The rollout to a version that is stopped on a route is rolled back.
    AddStops {
        /// The marks.
        marks: Vec<StopMark>,
        /// Why, in one sentence.
        reason: Arc<str>,
    },
    /// Clears every mark of a stopped version.
    ClearStop(ServerVersion),
    /// Returns to the content of an earlier configuration version. Stop marks are kept.
    Restore {
        /// The earlier version.
        version: ConfigVersion,
        /// Its content.
        content: Box<ConfigContent>,
    },
}

impl Change {
    /// The service that the change concerns, if it is one.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::CreateService { name, .. } => Some(name),
            Self::RemoveService(service)
            | Self::HoldRollout(service)
            | Self::ResumeRollout(service)
            | Self::StartRollout { service, .. }
            | Self::RollBack { service, .. } => Some(service),
            Self::CreateRoute(route) | Self::ReplaceRoute(route) => Some(&route.service),
            Self::CreateVersion(version)
            | Self::RemoveVersion(version)
            | Self::ClearStop(version) => Some(&version.service),
            Self::StepRollout { expected, .. } => Some(&expected.service),
            Self::AddStops { marks, .. } => marks.first().map(|mark| &mark.service),
            Self::RemoveRoute(_) | Self::Restore { .. } => None,
        }
    }

    /// The marks that this change sets in `content`; none if it stops no version.
    pub fn stops(&self, content: &ConfigContent) -> Vec<StopMark> {
        match self {
            Self::AddStops { marks, .. } => marks.clone(),
            Self::RollBack { service, .. } => {
                let rollout = content.rollouts.get(service);
                rollout.map(rollout_stop).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// The content that this change makes of `content` at the time `now`, or every reason against it.
    pub fn apply(
        &self,
        content: &ConfigContent,
        now: UnixMillis,
    ) -> Result<ConfigContent, Vec<ConfigError>> {
        let mut changed = content.clone();
        self.edit(&mut changed, now).map_err(|e| vec![e])?;
        check(&changed)?;
        Ok(changed)
    }

    fn edit(&self, content: &mut ConfigContent, now: UnixMillis) -> Result<(), ConfigError> {
        match self {
            Self::CreateService { name, team } => create_service(content, name, team),
            Self::RemoveService(name) => remove_service(content, name),
            Self::CreateRoute(route) => create_route(content, route),
            Self::ReplaceRoute(route) => replace_route(content, route),
            Self::RemoveRoute(name) => remove_route(content, name),
            Self::CreateVersion(version) => create_version(content, version),
            Self::RemoveVersion(version) => remove_version(content, version),
            Self::StartRollout { service, to, deadline } => {
                start_rollout(content, service, to, *deadline, now)
            }
            Self::HoldRollout(service) => {
                set_phase(content, service, RolloutPhase::Held, "held by an operator", now)
            }
            Self::ResumeRollout(service) => {
                set_phase(content, service, RolloutPhase::Ramping, "resumed by an operator", now)
            }
            Self::RollBack { service, reason } => roll_back(content, service, reason, now),
            Self::StepRollout { expected, share, non_idempotent_share, reason } => {
                let step = Step { share: *share, non_idempotent_share: *non_idempotent_share };
                step_rollout(content, expected, step, reason, now)
            }
            Self::AddStops { marks, reason } => {
                add_stops(content, marks, reason, now);
                Ok(())
            }
            Self::ClearStop(version) => clear_stop(content, version),
            Self::Restore { content: earlier, .. } => {
                restore(content, earlier);
                Ok(())
            }
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateService { name, team } => {
                write!(f, "create service {name} for team {team}")
            }
            Self::RemoveService(name) => write!(f, "remove service {name}"),
            Self::CreateRoute(route) => write!(f, "create route {}", route.name),
            Self::ReplaceRoute(route) => write!(f, "change route {}", route.name),
            Self::RemoveRoute(name) => write!(f, "remove route {name}"),
            Self::CreateVersion(v) => write!(f, "create version {}/{}", v.service, v.version),
            Self::RemoveVersion(v) => write!(f, "remove version {}/{}", v.service, v.version),
            Self::StartRollout { service, to, .. } => write!(f, "move {service} to {to}"),
            Self::HoldRollout(service) => write!(f, "hold {service}"),
            Self::ResumeRollout(service) => write!(f, "resume {service}"),
            Self::RollBack { service, reason } => write!(f, "roll back {service}: {reason}"),
            Self::StepRollout { expected, share, .. } => {
                write!(f, "move {} to {}: share {share}", expected.service, expected.to)
            }
            Self::AddStops { marks, reason } => match marks.first() {
                Some(mark) => write!(f, "stop {mark}: {reason}"),
                None => f.write_str("stop nothing"),
            },
            Self::ClearStop(v) => write!(f, "clear stop {}/{}", v.service, v.version),
            Self::Restore { version, .. } => write!(f, "restore configuration {version}"),
        }
    }
}

/// The shares after a step.
struct Step {
    share: PerMille,
    non_idempotent_share: PerMille,
}

fn create_service(
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

fn remove_service(content: &mut ConfigContent, name: &ServiceName) -> Result<(), ConfigError> {
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

fn create_route(content: &mut ConfigContent, route: &Route) -> Result<(), ConfigError> {
    if content.routes.contains_key(&route.name) {
        return Err(ConfigError::RouteExists(route.name.clone()));
    }
    content.routes.insert(route.name.clone(), route.clone());
    Ok(())
}

fn replace_route(content: &mut ConfigContent, route: &Route) -> Result<(), ConfigError> {
    match content.routes.get_mut(&route.name) {
        Some(old) => {
            *old = route.clone();
            Ok(())
        }
        None => Err(ConfigError::UnknownRoute(route.name.clone())),
    }
}

fn remove_route(content: &mut ConfigContent, name: &RouteName) -> Result<(), ConfigError> {
    if content.routes.remove(name).is_none() {
        return Err(ConfigError::UnknownRoute(name.clone()));
    }
    content.stops.retain(|stop| stop.route.as_ref() != Some(name));
    Ok(())
}

fn create_version(content: &mut ConfigContent, version: &ServerVersion) -> Result<(), ConfigError> {
    let Some(service) = content.services.get_mut(&version.service) else {
        return Err(ConfigError::UnknownService(version.service.clone()));
    };
    if !content.versions.insert(version.clone()) {
        return Err(ConfigError::VersionExists(version.service.clone(), version.version.clone()));
    }
    service.stable.get_or_insert_with(|| version.version.clone());
    Ok(())
}

fn remove_version(content: &mut ConfigContent, version: &ServerVersion) -> Result<(), ConfigError> {
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

fn start_rollout(
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

fn set_phase(
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

fn step_rollout(
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
    if step.non_idempotent_share == PerMille::WHOLE {
        rollout.phase = RolloutPhase::Completed;
        let to = rollout.to.clone();
        if let Some(service) = content.services.get_mut(name) {
            service.stable = Some(to);
        }
    }
    Ok(())
}

fn roll_back(
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

/// The mark that stops the new version of `rollout` on every route.
fn rollout_stop(rollout: &Rollout) -> StopMark {
    StopMark { service: rollout.service.clone(), version: rollout.to.clone(), route: None }
}

/// Adds `marks` and rolls back the rollouts to the versions that they stop.
fn add_stops(content: &mut ConfigContent, marks: &[StopMark], reason: &Arc<str>, now: UnixMillis) {
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

fn clear_stop(content: &mut ConfigContent, version: &ServerVersion) -> Result<(), ConfigError> {
    let count = content.stops.len();
    content.stops.retain(|stop| stop.service != version.service || stop.version != version.version);
    if content.stops.len() == count {
        return Err(ConfigError::NotStopped(version.service.clone(), version.version.clone()));
    }
    Ok(())
}

/// Takes the content of `earlier` and keeps the stop marks whose version it has.
fn restore(content: &mut ConfigContent, earlier: &ConfigContent) {
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

fn unknown_version(version: &ServerVersion) -> ConfigError {
    ConfigError::UnknownVersion(version.service.clone(), version.version.clone())
}
