//! Changes of a node's state, for logs and counters.

use std::fmt;

use crate::fleet::{
    AnnouncementOutcome, KeySpace, RolloutOutcome, StoreFailure, StoreRole, UnknownKind,
    UnknownType, VersionFault,
};
use crate::ids::{BackendId, ConfigVersion, DataCentre, NodeId, ServiceName, VersionName};
use crate::store::{StoreEra, StorePosition};
use crate::units::{Micros, Millis};

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
    /// The store has recorded that the backend server beside the node left.
    DepartureRecorded {
        /// The id of the server.
        id: BackendId,
        /// The time since the notice.
        took: Micros,
    },
    /// The store has not recorded in time that the backend server left, so the notice is
    /// acknowledged without it.
    DepartureUnrecorded(BackendId),
    /// The backend server beside the node sent no announcement in time and counts as gone.
    BackendExpired,
    /// The backend server beside the node became cold or may have restarted, or is warm again. Only
    /// reported if the calls of a cold server are limited.
    BackendCold {
        /// The id of the server.
        id: BackendId,
        /// Whether the server counts as cold.
        is_cold: bool,
    },
    /// A backend server announced that it is cold for longer than a day, which counts as a day.
    ColdTimeTooLong(BackendId, Millis),
    /// The evacuation of a data centre was ordered or withdrawn.
    Evacuation {
        /// The data centre whose backend servers get no calls, or get calls again.
        data_centre: DataCentre,
        /// Whether the evacuation was ordered.
        is_ordered: bool,
        /// The position of the store at which the node knows of it.
        position: StorePosition,
        /// The path by which the node learned of it: `store` or `node`.
        source: &'static str,
    },
    /// An evacuation order can't be followed, because too many data centres are evacuated.
    EvacuationsTooMany(DataCentre),
    /// An evacuation order names a data centre in which no known node is.
    EvacuationWithoutNodes(DataCentre),
    /// All calls have been moved away from the data centre of the node, or may come again.
    Evacuated(bool),
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
            Self::DepartureRecorded { .. } => "departure_recorded",
            Self::DepartureUnrecorded(_) => "departure_unrecorded",
            Self::BackendExpired => "backend_expired",
            Self::BackendCold { .. } => "backend_cold",
            Self::ColdTimeTooLong(..) => "cold_time_too_long",
            Self::Evacuation { .. } => "evacuation",
            Self::EvacuationsTooMany(_) => "evacuations_too_many",
            Self::EvacuationWithoutNodes(_) => "evacuation_without_nodes",
            Self::Evacuated(_) => "evacuated",
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
            Self::DepartureRecorded { id, took } => write!(f, "{id} after {took}"),
            Self::DepartureUnrecorded(id) => {
                write!(f, "{id} is acknowledged without the store")
            }
            Self::BackendExpired => f.write_str("no announcement in time"),
            Self::BackendCold { id, is_cold: true } => write!(f, "{id} is cold or was restarted"),
            Self::BackendCold { id, .. } => write!(f, "{id} is warm"),
            Self::ColdTimeTooLong(id, cold) => write!(f, "{id} is cold for {cold}"),
            Self::Evacuation { data_centre, is_ordered, position, source } => {
                let state = if *is_ordered { "ordered" } else { "withdrawn" };
                let StorePosition { era, revision } = position;
                write!(f, "{data_centre} {state} at {revision} of era {era} from {source}")
            }
            Self::EvacuationsTooMany(data_centre) => {
                write!(f, "{data_centre} is not evacuated: too many orders")
            }
            Self::EvacuationWithoutNodes(data_centre) => write!(f, "no node is in {data_centre}"),
            Self::Evacuated(true) => f.write_str("the node refuses calls"),
            Self::Evacuated(false) => f.write_str("the node takes calls"),
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
