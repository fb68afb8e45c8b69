//! The reasons for which a configuration or a change is refused.

use std::fmt;

use crate::config::PathPrefix;
use crate::ids::{RouteName, ServiceName, TeamName, VersionName};

/// The reason for which a configuration or a change is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// The named service does not exist.
    UnknownService(ServiceName),
    /// The named route does not exist, or a stop mark names it for another service.
    UnknownRoute(RouteName),
    /// The service has no version of this name.
    UnknownVersion(ServiceName, VersionName),
    /// A service of this name already exists.
    ServiceExists(ServiceName),
    /// A route of this name already exists.
    RouteExists(RouteName),
    /// The service already has a version of this name.
    VersionExists(ServiceName, VersionName),
    /// A service can't be removed while routes lead to it.
    ServiceHasRoutes(ServiceName),
    /// A version can't be removed while it is stable or part of an open rollout.
    VersionInUse(ServiceName, VersionName),
    /// The service has no stable version, so no version takes its traffic.
    NoStableVersion(ServiceName),
    /// Two routes have the same path prefix; one of them is named.
    PrefixTaken(PathPrefix, RouteName),
    /// The route's deadline is zero or exceeds 600,000 ms.
    RouteDeadline(RouteName),
    /// A rollout's old and new version are the same.
    SameVersion(ServiceName, VersionName),
    /// A rollout's deadline is not after its start.
    RolloutDeadline(ServiceName),
    /// A rollout's share of non-idempotent calls exceeds its share of idempotent calls.
    RolloutShares(ServiceName),
    /// A rollout can't start while another of the service is open.
    RolloutOpen(ServiceName),
    /// The service has no rollout that could be held, resumed or rolled back.
    NoOpenRollout(ServiceName),
    /// The rollout changed after the driver decided on a step.
    RolloutChanged(ServiceName),
    /// The version has a stop mark, which an operator must clear before a rollout to it.
    VersionStopped(ServiceName, VersionName),
    /// The version has no stop mark to clear.
    NotStopped(ServiceName, VersionName),
    /// The service belongs to the named team, not to the operator's own.
    WrongTeam(ServiceName, TeamName),
    /// The configuration has too many entries of one kind.
    TooMany {
        /// The kind of entry in the plural, such as `routes`.
        kind: &'static str,
        /// The maximum number of entries of this kind.
        limit: usize,
    },
    /// The named free text contains a control character or exceeds 512 bytes.
    Text(&'static str),
    /// The content of the configuration version to restore is no longer kept.
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
