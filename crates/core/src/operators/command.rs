//! A command of an operator.

use std::fmt;
use std::sync::Arc;

use crate::config::{Change, ConfigContent, ConfigError, Reason, Route, ServerVersion, StopMark};
use crate::ids::{ConfigVersion, RouteName, ServiceName, TeamName, VersionName};
use crate::operators::CommandTime;
use crate::units::UnixMillis;

/// A command of an operator that changes the configuration.
///
/// `Display` writes it in the operators' language; the command-line tool's
/// parser reads that text back as the same command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Create a service.
    CreateService {
        /// The service.
        name: ServiceName,
        /// Its owner.
        team: TeamName,
    },
    /// Remove a service that has no routes.
    RemoveService(ServiceName),
    /// Create a route.
    CreateRoute(Route),
    /// Replace a route.
    ChangeRoute(Route),
    /// Remove a route.
    RemoveRoute(RouteName),
    /// Create a version.
    CreateVersion(ServerVersion),
    /// Remove a version that takes no traffic.
    RemoveVersion(ServerVersion),
    /// Move a service's traffic to a version.
    Move {
        /// The service.
        service: ServiceName,
        /// The version that is to take all traffic.
        to: VersionName,
        /// When it is to do so.
        by: CommandTime,
    },
    /// Hold the rollout of a service.
    Hold(ServiceName),
    /// Resume the held rollout of a service.
    Resume(ServiceName),
    /// Stop the new version of the last rollout of a service.
    RollBack {
        /// The service.
        service: ServiceName,
        /// Why.
        reason: Option<Reason>,
    },
    /// Stop a version.
    Stop {
        /// What is stopped.
        mark: StopMark,
        /// Why.
        reason: Option<Reason>,
    },
    /// Clear every stop mark of a version.
    ClearStop(ServerVersion),
    /// Return to the content of an earlier configuration version.
    Restore(ConfigVersion),
}

impl Command {
    /// The earlier configuration version whose content [`into_change`](Self::into_change) needs.
    pub fn restored_version(&self) -> Option<ConfigVersion> {
        match self {
            Self::Restore(version) => Some(*version),
            _ => None,
        }
    }

    /// Whether the command only keeps traffic where it is or takes it from a version.
    ///
    /// Such a command is right whatever changed since the operator last looked,
    /// and the steps of a rollout, which are changes too, must not get in its way.
    pub const fn only_withdraws_traffic(&self) -> bool {
        matches!(self, Self::Hold(_) | Self::RollBack { .. } | Self::Stop { .. })
    }

    /// The change that this command asks for at the time `now`.
    ///
    /// `earlier` is the content of [`restored_version`](Self::restored_version)
    /// if it is still kept; other commands don't use it.
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
            Self::Move { service, to, by: CommandTime::At(time) } => {
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

/// Writes the reason in quotes, with a backslash before each quote and backslash.
fn write_reason(f: &mut fmt::Formatter<'_>, reason: Option<&Reason>) -> fmt::Result {
    match reason {
        Some(reason) => {
            let text = reason.as_str().replace('\\', "\\\\").replace('"', "\\\"");
            write!(f, " because \"{text}\"")
        }
        None => Ok(()),
    }
}
