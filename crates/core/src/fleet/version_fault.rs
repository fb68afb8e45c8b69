//! Why a new version is worse than the old one.

use std::fmt;

use crate::fleet::{BadCalls, RouteKey};

/// The rule by which a new version was found worse than the old one, with what it compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFault {
    /// A larger share of its calls failed or were slow.
    BadCalls {
        /// The route of the calls; `None` for all routes together.
        route: Option<RouteKey>,
        /// The calls of the new version.
        new: BadCalls,
        /// The calls of the old version.
        old: BadCalls,
    },
    /// Its answers fall into fast and slow ones, and those of the old version do not.
    Bimodal {
        /// The route of the calls.
        route: RouteKey,
        /// The spread of the new version's answers, see
        /// [`RouteEvidence::spread`](crate::fleet::RouteEvidence::spread).
        new_spread: usize,
        /// The spread of the old version's answers.
        old_spread: usize,
    },
}

impl fmt::Display for VersionFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadCalls { route, new, old } => {
                write!(f, "{new} calls failed or were slow, of the old version {old}")?;
                route.map_or(Ok(()), |route| write!(f, ", on route {route}"))
            }
            Self::Bimodal { route, new_spread, old_spread } => write!(
                f,
                "spread of {new_spread} buckets, of the old version {old_spread}, on route {route}"
            ),
        }
    }
}
