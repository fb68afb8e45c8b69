//! A change of the configuration.

use std::fmt;
use std::sync::Arc;

use super::change_effects;
use crate::config::check::check;
use crate::config::{
    ConfigContent, ConfigError, Rollout, RolloutPhase, Route, ServerVersion, StopMark,
};
use crate::ids::{ConfigVersion, RouteName, ServiceName, TeamName, VersionName};
use crate::units::{PerMille, UnixMillis};

/// A change that an operator or the rollout driver requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Creates a service without versions.
    CreateService {
        /// The name of the new service.
        name: ServiceName,
        /// The team that owns the new service.
        team: TeamName,
    },
    /// Removes a service that has no routes, with its versions, rollout and stop marks.
    RemoveService(ServiceName),
    /// Creates a route with a new name.
    CreateRoute(Route),
    /// Replaces the existing route of the same name.
    ReplaceRoute(Route),
    /// Removes a route and the stop marks that name it.
    RemoveRoute(RouteName),
    /// Creates a version. The first version of a service becomes its stable version.
    CreateVersion(ServerVersion),
    /// Removes a version that is neither stable nor part of an open rollout.
    RemoveVersion(ServerVersion),
    /// Starts a rollout from the stable version.
    StartRollout {
        /// The service whose traffic moves.
        service: ServiceName,
        /// The version that takes all traffic at the end of the rollout.
        to: VersionName,
        /// The time by which it takes all traffic; must be in the future.
        deadline: UnixMillis,
    },
    /// Holds an open rollout at its current shares.
    HoldRollout(ServiceName),
    /// Resumes a held rollout, whose shares may grow again.
    ResumeRollout(ServiceName),
    /// Stops the new version of the last rollout and returns all traffic to the old one.
    RollBack {
        /// The service whose last rollout is rolled back.
        service: ServiceName,
        /// Why the rollout is rolled back, in one sentence without line breaks.
        reason: Arc<str>,
    },
    /// Changes the shares of a rollout. Refused if the rollout no longer equals `expected`.
    StepRollout {
        /// The rollout on which the driver based its decision.
        expected: Rollout,
        /// The new version's share of idempotent calls after the step.
        share: PerMille,
        /// The new version's share of non-idempotent calls after the step.
        non_idempotent_share: PerMille,
        /// Why the share changes, in one sentence without line breaks.
        reason: Arc<str>,
    },
    /// Adds stop marks and rolls back rollouts to the versions that they name.
    AddStops {
        /// The stop marks to add; those that already exist are kept.
        marks: Vec<StopMark>,
        /// Why the version is stopped, in one sentence without line breaks.
        reason: Arc<str>,
    },
    /// Removes every stop mark of a version.
    ClearStop(ServerVersion),
    /// Restores the content of an earlier configuration version. Current stop marks stay, unless
    /// their version or route did not exist in that content.
    Restore {
        /// The configuration version to restore; only used in the change's summary.
        version: ConfigVersion,
        /// The content of the earlier version.
        content: Box<ConfigContent>,
    },
}

impl Change {
    /// Returns the service that the change names, for `AddStops` that of the first mark.
    ///
    /// `RemoveRoute` and `Restore` name no service.
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

    /// Returns the stop marks that this change adds to `content`; empty if it stops no version.
    pub fn stops(&self, content: &ConfigContent) -> Vec<StopMark> {
        match self {
            Self::AddStops { marks, .. } => marks.clone(),
            Self::RollBack { service, .. } => {
                let rollout = content.rollouts.get(service);
                rollout.map(change_effects::rollout_stop).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Applies this change to `content` at the wall-clock time `now` and returns the new content.
    ///
    /// # Errors
    ///
    /// Returns the error that prevents the change, or every error of the resulting content.
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
            Self::CreateService { name, team } => {
                change_effects::create_service(content, name, team)
            }
            Self::RemoveService(name) => change_effects::remove_service(content, name),
            Self::CreateRoute(route) => change_effects::create_route(content, route),
            Self::ReplaceRoute(route) => change_effects::replace_route(content, route),
            Self::RemoveRoute(name) => change_effects::remove_route(content, name),
            Self::CreateVersion(version) => change_effects::create_version(content, version),
            Self::RemoveVersion(version) => change_effects::remove_version(content, version),
            Self::StartRollout { service, to, deadline } => {
                change_effects::start_rollout(content, service, to, *deadline, now)
            }
            Self::HoldRollout(service) => change_effects::set_phase(
                content,
                service,
                RolloutPhase::Held,
                "held by an operator",
                now,
            ),
            Self::ResumeRollout(service) => change_effects::set_phase(
                content,
                service,
                RolloutPhase::Ramping,
                "resumed by an operator",
                now,
            ),
            Self::RollBack { service, reason } => {
                change_effects::roll_back(content, service, reason, now)
            }
            Self::StepRollout { expected, share, non_idempotent_share, reason } => {
                let step = change_effects::Step {
                    share: *share,
                    non_idempotent_share: *non_idempotent_share,
                };
                change_effects::step_rollout(content, expected, step, reason, now)
            }
            Self::AddStops { marks, reason } => {
                change_effects::add_stops(content, marks, reason, now);
                Ok(())
            }
            Self::ClearStop(version) => change_effects::clear_stop(content, version),
            Self::Restore { content: earlier, .. } => {
                change_effects::restore(content, earlier);
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
