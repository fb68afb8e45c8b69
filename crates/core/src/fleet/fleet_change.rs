//! Changes of a node's state, for logs and counters.

use std::fmt;

use crate::fleet::{
    AnnouncementOutcome, KeySpace, RolloutOutcome, StoreFailure, StoreRole, UnknownKind,
    UnknownType, VersionFault,
};
use crate::ids::{BackendId, ConfigVersion, NodeId, ServiceName, VersionName};
use crate::store::StoreEra;
use crate::units::Micros;

/// A change of a node's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// A configuration came into force.
    ConfigInForce {
        /// The version of the configuration now in force.
        version: ConfigVersion,
        /// The version that was in force before; zero if there was none.
        before: ConfigVersion,
        /// The path by which the configuration came: `store` or `node`.
        source: &'static str,
        /// The time since another node was first heard of with a newer configuration.
        behind_for: Micros,
    },
    /// The configuration that came into force has routes of an unknown kind.
    ConfigKindUnknown(UnknownKind),
    /// Another node did not send its newer configuration: it was busy, silent or too slow.
    ConfigNotFetched {
        /// The node that was asked.
        from: NodeId,
        /// The time until the failure.
        took: Micros,
    },
    /// A configuration was refused as a whole.
    ConfigRefused(String),
    /// The node has no configuration and serves part of one that has entries of an unknown type.
    ConfigTypeUnknown(UnknownType),
    /// An item of the store can't be decoded and is ignored.
    ItemUnreadable(String),
    /// The backend server beside the node announced itself or its leaving.
    Backend {
        /// The id of the server that sent the notice.
        id: BackendId,
        /// The kind of notice, as the log prints it.
        notice: &'static str,
        /// What the notice changed.
        outcome: AnnouncementOutcome,
    },
    /// The backend server beside the node sent no announcement in time and counts as gone.
    BackendExpired,
    /// Another node appeared or changed its state.
    Peer {
        /// The id of the other node.
        node: NodeId,
        /// Whether the other node is about to stop.
        is_leaving: bool,
        /// The backend server beside the other node; `None` if none takes calls.
        backend: Option<BackendId>,
    },
    /// The store became reachable or unreachable.
    Store {
        /// Whether the store answers requests.
        is_reached: bool,
        /// Why the last request failed, if the store does not answer.
        failure: Option<StoreFailure>,
    },
    /// The node does something else than before to follow the operator's keys of the store.
    StoreRole(StoreRole),
    /// A watch was sent again, because the store gave no response while it was pending.
    WatchRepeated {
        /// The watched part of the store's keys.
        space: KeySpace,
        /// The time since the watch was sent.
        pending_for: Micros,
    },
    /// The store was restored from an earlier copy and is read anew.
    StoreRestored {
        /// The era that the store names now.
        era: StoreEra,
        /// The era that it named before.
        before: StoreEra,
    },
    /// A rollout of a service to a version was ordered.
    RolloutOrdered(ServiceName, VersionName),
    /// The new version of a rollout was found bad and gets no more calls.
    RolloutStopped {
        /// The service of the rollout.
        service: ServiceName,
        /// The new version that was found bad.
        target: VersionName,
        /// Why it was found bad.
        fault: VersionFault,
    },
    /// The store has recorded the end of a rollout.
    RolloutEnded(ServiceName, VersionName, RolloutOutcome),
}

impl FleetChange {
    /// Returns the name of the kind of change in logs and counters.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::ConfigInForce { .. } => "config_in_force",
            Self::ConfigKindUnknown(_) => "config_kind_unknown",
            Self::ConfigNotFetched { .. } => "config_not_fetched",
            Self::ConfigRefused(_) => "config_refused",
            Self::ConfigTypeUnknown(_) => "config_type_unknown",
            Self::ItemUnreadable(_) => "item_unreadable",
            Self::Backend { .. } => "backend",
            Self::BackendExpired => "backend_expired",
            Self::Peer { .. } => "peer",
            Self::Store { .. } => "store",
            Self::StoreRole(_) => "store_role",
            Self::WatchRepeated { .. } => "watch_repeated",
            Self::StoreRestored { .. } => "store_restored",
            Self::RolloutOrdered(..) => "rollout_ordered",
            Self::RolloutStopped { .. } => "rollout_stopped",
            Self::RolloutEnded(..) => "rollout_ended",
        }
    }
}

impl fmt::Display for FleetChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigInForce { version, before, source, behind_for } => {
                write!(f, "version {version} from {source}, before {before}, behind {behind_for}")
            }
            Self::ConfigKindUnknown(kind) => write!(f, "{kind}"),
            Self::ConfigTypeUnknown(unknown) => {
                write!(f, "{unknown}: only calls that may be repeated are served")
            }
            Self::ConfigNotFetched { from, took } => write!(f, "from {from} within {took}"),
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
            Self::StoreRole(role) => write!(f, "{role}"),
            Self::WatchRepeated { space, pending_for } => {
                write!(f, "{space:?} keys, pending for {pending_for}")
            }
            Self::StoreRestored { era, before } => write!(f, "era {era}, before {before}"),
            Self::RolloutOrdered(service, target) => write!(f, "{service} to {target}"),
            Self::RolloutStopped { service, target, fault } => {
                write!(f, "{service} {target}: {fault}")
            }
            Self::RolloutEnded(service, target, outcome) => {
                write!(f, "{service} {target} {outcome}")
            }
        }
    }
}
