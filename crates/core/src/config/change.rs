//! A change of the configuration.

use std::fmt;
use std::sync::Arc;

use super::edits;
use crate::config::check::check;
use crate::config::{
    ConfigContent, ConfigError, Rollout, RolloutPhase, Route, ServerVersion, StopMark,
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
                rollout.map(edits::rollout_stop).into_iter().collect()
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
            Self::CreateService { name, team } => edits::create_service(content, name, team),
            Self::RemoveService(name) => edits::remove_service(content, name),
            Self::CreateRoute(route) => edits::create_route(content, route),
            Self::ReplaceRoute(route) => edits::replace_route(content, route),
            Self::RemoveRoute(name) => edits::remove_route(content, name),
            Self::CreateVersion(version) => edits::create_version(content, version),
            Self::RemoveVersion(version) => edits::remove_version(content, version),
            Self::StartRollout { service, to, deadline } => {
                edits::start_rollout(content, service, to, *deadline, now)
            }
            Self::HoldRollout(service) => {
                edits::set_phase(content, service, RolloutPhase::Held, "held by an operator", now)
            }
            Self::ResumeRollout(service) => edits::set_phase(
                content,
                service,
                RolloutPhase::Ramping,
                "resumed by an operator",
                now,
            ),
            Self::RollBack { service, reason } => edits::roll_back(content, service, reason, now),
            Self::StepRollout { expected, share, non_idempotent_share, reason } => {
                let step =
                    edits::Step { share: *share, non_idempotent_share: *non_idempotent_share };
                edits::step_rollout(content, expected, step, reason, now)
            }
            Self::AddStops { marks, reason } => {
                edits::add_stops(content, marks, reason, now);
                Ok(())
            }
            Self::ClearStop(version) => edits::clear_stop(content, version),
            Self::Restore { content: earlier, .. } => {
                edits::restore(content, earlier);
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
