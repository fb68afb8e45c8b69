//! A command that an operator sends to a node.

use std::fmt;
use std::sync::Arc;

use crate::config::{Change, ConfigContent, ConfigError, Reason, Route, ServerVersion, StopMark};
use crate::ids::{ConfigVersion, RouteName, ServiceName, TeamName, VersionName};
use crate::operators::CommandTime;
use crate::units::UnixMillis;

/// An operator's command that changes the configuration.
///
/// `Display` writes it in the operators' command language. The parser of the
/// command-line tool reads that text back as the same command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Creates a service without versions.
    CreateService {
        /// The name of the new service.
        name: ServiceName,
        /// The team that owns the new service.
        team: TeamName,
    },
    /// Removes a service that has no routes, with its versions.
    RemoveService(ServiceName),
    /// Creates a route with a new name.
    CreateRoute(Route),
    /// Replaces the existing route of the same name.
    ChangeRoute(Route),
    /// Removes the route of this name.
    RemoveRoute(RouteName),
    /// Creates a version of an existing service.
    CreateVersion(ServerVersion),
    /// Removes a version that is neither stable nor part of an open rollout.
    RemoveVersion(ServerVersion),
    /// Starts a rollout from a service's stable version to another one.
    Move {
        /// The service whose traffic moves.
        service: ServiceName,
        /// The version that takes all traffic at the end of the rollout.
        to: VersionName,
        /// The time by which it takes all traffic; must be in the future.
        by: CommandTime,
    },
    /// Holds the open rollout of a service at its current shares.
    Hold(ServiceName),
    /// Resumes the held rollout of a service.
    Resume(ServiceName),
    /// Stops the new version of a service's last rollout and returns its traffic to the old one.
    RollBack {
        /// The service whose last rollout is rolled back.
        service: ServiceName,
        /// Why it is rolled back; `None` stands for "rolled back by an operator".
        reason: Option<Reason>,
    },
    /// Stops a version on one route or on all.
    Stop {
        /// The stop mark to add.
        mark: StopMark,
        /// Why it is stopped; `None` stands for "stopped by an operator".
        reason: Option<Reason>,
    },
    /// Removes every stop mark of a version.
    ClearStop(ServerVersion),
    /// Restores the content of an earlier configuration version.
    Restore(ConfigVersion),
}

impl Command {
    /// Returns the configuration version whose content [`into_change`](Self::into_change) needs;
    /// `None` for every command but `Restore`.
    pub fn restored_version(&self) -> Option<ConfigVersion> {
        match self {
            Self::Restore(version) => Some(*version),
            _ => None,
        }
    }

    /// Returns whether the command can only keep or withdraw a version's traffic.
    ///
    /// Such a command is valid whatever has changed since the operator last looked.
    /// It is sent without a base version, because the steps of a rollout are changes
    /// too and would make it fail.
    pub const fn only_withdraws_traffic(&self) -> bool {
        matches!(self, Self::Hold(_) | Self::RollBack { .. } | Self::Stop { .. })
    }

    /// Returns the change that this command requests at the wall-clock time `now`.
    ///
    /// `earlier` is the content of [`restored_version`](Self::restored_version),
    /// if it is still kept. Other commands don't use it.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::UnknownConfigVersion`] if the content to restore is not kept.
    pub fn into_change(
        self,
        now: UnixMillis,
        earlier: Option<ConfigContent>,
    ) -> Result<Change, ConfigError> {
        Ok(match self {
            Self::CreateService { name, team } => Change::CreateService { name, team },
            Self::RemoveService(name) => Change::RemoveService(name),
            Self::CreateRoute(route) => Change::CreateRoute(route),
            Self::ChangeRoute(route) => Change::ReplaceRoute(route),
            Self::RemoveRoute(name) => Change::RemoveRoute(name),
            Self::CreateVersion(version) => Change::CreateVersion(version),
            Self::RemoveVersion(version) => Change::RemoveVersion(version),
            Self::Move { service, to, by } => {
                Change::StartRollout { service, to, deadline: by.resolve(now) }
            }
            Self::Hold(service) => Change::HoldRollout(service),
            Self::Resume(service) => Change::ResumeRollout(service),
            Self::RollBack { service, reason } => Change::RollBack {
                service,
                reason: or_default(reason, "rolled back by an operator"),
            },
            Self::Stop { mark, reason } => Change::AddStops {
                marks: vec![mark],
                reason: or_default(reason, "stopped by an operator"),
            },
            Self::ClearStop(version) => Change::ClearStop(version),
            Self::Restore(version) => {
                let content = earlier.ok_or(ConfigError::UnknownConfigVersion(version))?;
                Change::Restore { version, content: Box::new(content) }
            }
        })
    }
}

fn or_default(reason: Option<Reason>, default: &str) -> Arc<str> {
    reason.map_or_else(|| default.into(), |reason| reason.to_shared())
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateService { name, team } => {
                write!(f, "create service {name} team {team}")
            }
            Self::RemoveService(name) => write!(f, "remove service {name}"),
            Self::CreateRoute(route) => write_route(f, "create", route),
            Self::ChangeRoute(route) => write_route(f, "change", route),
            Self::RemoveRoute(name) => write!(f, "remove route {name}"),
            Self::CreateVersion(v) => write!(f, "create version {}/{}", v.service, v.version),
            Self::RemoveVersion(v) => write!(f, "remove version {}/{}", v.service, v.version),
            Self::Move { service, to, by: CommandTime::Absolute(time) } => {
                write!(f, "move {service} to {to} by {time}")
            }
            Self::Move { service, to, by } => write!(f, "move {service} to {to} {by}"),
            Self::Hold(service) => write!(f, "hold {service}"),
            Self::Resume(service) => write!(f, "resume {service}"),
            Self::RollBack { service, reason } => {
                write!(f, "rollback {service}")?;
                write_reason(f, reason.as_ref())
            }
            Self::Stop { mark, reason } => {
                write!(f, "stop {}/{}", mark.service, mark.version)?;
                if let Some(route) = &mark.route {
                    write!(f, " on {route}")?;
                }
                write_reason(f, reason.as_ref())
            }
            Self::ClearStop(v) => write!(f, "clear stop {}/{}", v.service, v.version),
            Self::Restore(version) => write!(f, "restore {version}"),
        }
    }
}

fn write_route(f: &mut fmt::Formatter<'_>, verb: &str, route: &Route) -> fmt::Result {
    let idempotence = if route.idempotent { "idempotent" } else { "non-idempotent" };
    write!(
        f,
        "{verb} route {} service {} prefix {} {idempotence} priority {} deadline {}",
        route.name, route.service, route.prefix, route.priority, route.deadline
    )
}

/// Writes the reason in double quotes, with a backslash before each quote and backslash.
fn write_reason(f: &mut fmt::Formatter<'_>, reason: Option<&Reason>) -> fmt::Result {
    match reason {
        Some(reason) => {
            let text = reason.as_str().replace('\\', "\\\\").replace('"', "\\\"");
            write!(f, " because \"{text}\"")
        }
        None => Ok(()),
    }
}
