//! The reasons for which a configuration is refused.

use std::fmt;
use std::sync::Arc;

use crate::fleet::PartialConfig;
use crate::ids::{RouteName, ServiceName, TeamName};

/// The reason why a configuration is refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigProblem {
    /// The text can't be parsed; holds the message of the parser.
    Unreadable(Arc<str>),
    /// The only flaw: entries of unknown types.
    UnknownTypes(PartialConfig),
    /// A route has a prefix that does not begin and end with a slash.
    BadPrefix(RouteName),
    /// A route has no destination with a weight above zero.
    NoDestination(RouteName),
    /// A route leads to a service that the configuration does not define.
    UnknownService(RouteName, ServiceName),
    /// A route allows zero attempts.
    NoAttempts(RouteName),
    /// A route has a time-out of zero.
    NoTimeout(RouteName),
    /// Two routes have the same host and prefix.
    DuplicateRoute(RouteName, RouteName),
    /// Two teams have the same name.
    DuplicateTeam(TeamName),
    /// Two teams have the same credential.
    SharedCredential(TeamName, TeamName),
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(problem) => write!(f, "unreadable: {problem}"),
            Self::UnknownTypes(PartialConfig { unknown_types, .. }) => {
                let types: Vec<_> = unknown_types.iter().map(ToString::to_string).collect();
                f.write_str(&types.join(", "))
            }
            Self::BadPrefix(route) => {
                write!(f, "route {route}: the prefix must begin and end with a slash")
            }
            Self::NoDestination(route) => {
                write!(f, "route {route}: no destination with a weight above zero")
            }
            Self::UnknownService(route, service) => {
                write!(f, "route {route}: service {service} is not defined")
            }
            Self::NoAttempts(route) => write!(f, "route {route}: no attempt is allowed"),
            Self::NoTimeout(route) => write!(f, "route {route}: the time-out is zero"),
            Self::DuplicateRoute(first, second) => {
                write!(f, "routes {first} and {second} have the same host and prefix")
            }
            Self::DuplicateTeam(team) => write!(f, "two teams have the name {team}"),
            Self::SharedCredential(first, second) => {
                write!(f, "teams {first} and {second} have the same credential")
            }
        }
    }
}

impl std::error::Error for ConfigProblem {}
