//! The reasons for refusing a configuration or a change.

use std::fmt;

use crate::config::PathPrefix;
use crate::ids::{RouteName, ServiceName, TeamName, VersionName};

/// Why a configuration or a change is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// The service does not exist.
    UnknownService(ServiceName),
    /// The route does not exist.
    UnknownRoute(RouteName),
    /// The version does not exist.
    UnknownVersion(ServiceName, VersionName),
    /// The service exists already.
    ServiceExists(ServiceName),
    /// The route exists already.
    RouteExists(RouteName),
    /// The version exists already.
    VersionExists(ServiceName, VersionName),
    /// The service still has routes.
    ServiceHasRoutes(ServiceName),
    /// The version takes traffic or belongs to an open rollout.
    VersionInUse(ServiceName, VersionName),
    /// The service has no version that takes traffic.
    NoStableVersion(ServiceName),
    /// Two routes take the same paths.
    PrefixTaken(PathPrefix, RouteName),
    /// The route's deadline is zero or longer than the limit.
    RouteDeadline(RouteName),
    /// A rollout's versions are the same.
    SameVersion(ServiceName, VersionName),
    /// A rollout's deadline is not in the future.
    RolloutDeadline(ServiceName),
    /// A rollout's shares contradict each other.
    RolloutShares(ServiceName),
    /// The service has an open rollout already.
    RolloutOpen(ServiceName),
    /// The service has no open rollout.
    NoOpenRollout(ServiceName),
    /// The rollout was changed since the decision was made.
    RolloutChanged(ServiceName),
    /// The version is stopped; an operator must clear the mark first.
    VersionStopped(ServiceName, VersionName),
    /// Nothing is stopped that the command would clear.
    NotStopped(ServiceName, VersionName),
    /// The service belongs to another team.
    WrongTeam(ServiceName, TeamName),
    /// There are more entries of a kind than allowed.
    TooMany {
        /// The kind of entry.
        kind: &'static str,
        /// The number allowed.
        limit: usize,
    },
    /// A text contains a line break or is too long.
    Text(&'static str),
    /// The history holds no such version to return to.
    UnknownConfigVersion(crate::ids::ConfigVersion),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(s) => write!(f, "service {s} does not exist"),
            Self::UnknownRoute(r) => write!(f, "route {r} does not exist"),
            Self::UnknownVersion(s, v) => write!(f, "version {s}/{v} does not exist"),
            Self::ServiceExists(s) => write!(f, "service {s} exists already"),
            Self::RouteExists(r) => write!(f, "route {r} exists already"),
            Self::VersionExists(s, v) => write!(f, "version {s}/{v} exists already"),
            Self::ServiceHasRoutes(s) => {
                write!(f, "service {s} still has routes; remove them first")
            }
            Self::VersionInUse(s, v) => {
                write!(f, "version {s}/{v} takes traffic or belongs to an open rollout")
            }
            Self::NoStableVersion(s) => {
                write!(f, "service {s} has no version that takes traffic; create one first")
            }
            Self::PrefixTaken(p, r) => write!(f, "prefix {p} belongs to route {r} already"),
            Self::RouteDeadline(r) => {
                write!(f, "the deadline of route {r} must be from 1ms to 600000ms")
            }
            Self::SameVersion(s, v) => write!(f, "service {s} is on version {v} already"),
            Self::RolloutDeadline(s) => {
                write!(f, "the deadline of the rollout of {s} must be in the future")
            }
            Self::RolloutShares(s) => {
                write!(f, "the shares of the rollout of {s} contradict each other")
            }
            Self::RolloutOpen(s) => write!(f, "service {s} has an open rollout already"),
            Self::NoOpenRollout(s) => write!(f, "service {s} has no open rollout"),
            Self::RolloutChanged(s) => {
                write!(f, "the rollout of {s} changed since the decision was made")
            }
            Self::VersionStopped(s, v) => {
                write!(f, "version {s}/{v} is stopped; clear the stop first")
            }
            Self::NotStopped(s, v) => write!(f, "version {s}/{v} is not stopped"),
            Self::WrongTeam(s, m) => write!(f, "service {s} belongs to team {m}"),
            Self::TooMany { kind, limit } => write!(f, "there may be at most {limit} {kind}"),
            Self::Text(field) => {
                write!(f, "{field} must be at most 512 bytes without line breaks")
            }
            Self::UnknownConfigVersion(v) => write!(f, "configuration version {v} is not kept"),
        }
    }
}

impl std::error::Error for ConfigError {}
