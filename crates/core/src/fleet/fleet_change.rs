//! Changes of a node's state, for the log.

use std::fmt;

use crate::fleet::{AnnouncementOutcome, RolloutOutcome, StoreFailure};
use crate::ids::{BackendId, ConfigVersion, NodeId, ServiceName, VersionName};

/// A change of a node's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// A configuration is in force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
        /// The version before it; zero if there was none.
        before: ConfigVersion,
        /// Where it came from.
        source: &'static str,
    },
    /// A configuration was refused as a whole.
    ConfigRefused(String),
    /// An item of the store can't be read and is ignored.
    ItemUnreadable(String),
    /// The backend server beside the node announced itself or that it leaves.
    Backend {
        /// The server.
        id: BackendId,
        /// What it announced.
        notice: &'static str,
        /// What the announcement changed.
        outcome: AnnouncementOutcome,
    },
    /// The backend server beside the node was silent for too long.
    BackendExpired,
    /// Another node changed.
    Peer {
        /// The node.
        node: NodeId,
        /// Whether it stops.
        is_leaving: bool,
        /// The backend server beside it.
        backend: Option<BackendId>,
    },
    /// The store answers again, or stopped to.
    Store {
        /// Whether it answers.
        is_reached: bool,
        /// The failure, if it does not.
        failure: Option<StoreFailure>,
    },
    /// A rollout was ordered.
    RolloutOrdered(ServiceName, VersionName),
    /// The new version of a rollout was found bad.
    RolloutStopped {
        /// The service.
        service: ServiceName,
        /// The new version.
        target: VersionName,
        /// The calls of the new version.
        calls: u32,
        /// Those that failed.
        failures: u32,
    },
    /// The end of a rollout was recorded.
    RolloutEnded(ServiceName, VersionName, RolloutOutcome),
}

impl FleetChange {
    /// The kind of change in logs and counters.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::ConfigInForce { .. } => "config_in_force",
            Self::ConfigRefused(_) => "config_refused",
            Self::ItemUnreadable(_) => "item_unreadable",
            Self::Backend { .. } => "backend",
            Self::BackendExpired => "backend_expired",
            Self::Peer { .. } => "peer",
            Self::Store { .. } => "store",
            Self::RolloutOrdered(..) => "rollout_ordered",
            Self::RolloutStopped { .. } => "rollout_stopped",
            Self::RolloutEnded(..) => "rollout_ended",
        }
    }
}

impl fmt::Display for FleetChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigInForce { version, before, source } => {
                write!(f, "version {version} from {source}, before {before}")
            }
            Self::ConfigRefused(problem) | Self::ItemUnreadable(problem) => f.write_str(problem),
            Self::Backend { id, notice, outcome } => write!(f, "{id} {notice}: {outcome:?}"),
            Self::BackendExpired => f.write_str("no announcement in time"),
            Self::Peer { node, is_leaving, backend } => {
                let state = if *is_leaving { "leaving" } else { "alive" };
                write!(f, "{node} {state}")?;
                backend.as_ref().map_or(Ok(()), |backend| write!(f, ", backend server {backend}"))
            }
            Self::Store { is_reached: true, .. } => f.write_str("answers"),
            Self::Store { failure, .. } => match failure {
                Some(failure) => write!(f, "does not answer: {failure}"),
                None => f.write_str("does not answer"),
            },
            Self::RolloutOrdered(service, target) => write!(f, "{service} to {target}"),
            Self::RolloutStopped { service, target, calls, failures } => {
                write!(f, "{service} {target}: {failures} of {calls} calls failed")
            }
            Self::RolloutEnded(service, target, outcome) => {
                write!(f, "{service} {target} {outcome}")
            }
        }
    }
}
