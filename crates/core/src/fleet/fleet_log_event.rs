//! What a node of a fleet writes into its log.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::fleet::{FleetNews, LogClass, RemoteDoor};
use crate::ids::{BackendId, ConfigVersion, RouteName, ServiceName};
use crate::units::Micros;
use crate::{RefusalReason, Verdict};

/// What a node of a fleet writes into its log.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetLogEvent {
    /// The node serves.
    Started {
        /// Where it takes callers' requests.
        callers: SocketAddr,
        /// Where it takes calls of other nodes.
        nodes: SocketAddr,
    },
    /// The node was told to stop.
    Stopping {
        /// By which signal.
        signal: &'static str,
    },
    /// The grace of a planned stop ended before all calls had.
    CallsCut,
    /// The node ends.
    Stopped,
    /// The settings file has changed; it is read at the next start.
    SettingsChanged,
    /// A belief changed.
    Change(FleetNews),
    /// An announcement can't be read.
    AnnouncementRefused {
        /// The server that it names.
        server: String,
        /// What is wrong.
        problem: String,
    },
    /// A datagram of another node can't be read.
    HeartbeatRefused {
        /// Its sender.
        from: SocketAddr,
        /// What is wrong.
        problem: String,
    },
    /// A heartbeat could not be sent or received.
    HeartbeatFailed {
        /// What went wrong.
        problem: String,
    },
    /// A caller's request ended.
    Call(CallRecord),
    /// A call ended at this node's door.
    Door(DoorRecord),
}

/// A caller's request and what decided where it went.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The attempt's id.
    pub id: Option<Arc<str>>,
    /// The route, if there is one.
    pub route: Option<RouteName>,
    /// The service.
    pub service: Option<ServiceName>,
    /// The configuration by which it was routed.
    pub config: ConfigVersion,
    /// The doors that were tried, the last one last.
    pub tries: Vec<DoorChoice>,
    /// How long it took.
    pub took: Micros,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// A door that was chosen, and what was believed of it.
#[derive(Debug, Clone, PartialEq)]
pub struct DoorChoice {
    /// The door.
    pub door: RemoteDoor,
    /// The calls that were believed to run or wait there.
    pub ahead: u32,
    /// How long the answer was expected to take.
    pub expected: Micros,
    /// The time that was left until the deadline.
    pub left: Micros,
    /// Whether a rollout judges the door's version.
    pub is_judged: bool,
}

/// A call at a door.
#[derive(Debug, Clone, PartialEq)]
pub struct DoorRecord {
    /// The attempt's id.
    pub id: Option<Arc<str>>,
    /// The route.
    pub route: RouteName,
    /// The service.
    pub service: ServiceName,
    /// The backend server that was meant.
    pub backend: BackendId,
    /// The calls that ran or went before it when it came.
    pub ahead: u32,
    /// The time left until its deadline when it ended.
    pub left: Micros,
    /// How long it took.
    pub took: Micros,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A backend server answered with this status.
    Answered(u16),
    /// There is no answer of a backend server.
    Failed {
        /// Whether the call may have run.
        verdict: Verdict,
        /// Why there is none.
        reason: RefusalReason,
        /// Whether it arrived at a backend server.
        has_arrived: bool,
        /// After how long it may come again, if it did not run.
        retry_after: Micros,
    },
}

impl FleetLogEvent {
    /// What the line says.
    pub const fn message(&self) -> &'static str {
        match self {
            Self::Started { .. } => "started",
            Self::Stopping { .. } => "stopping",
            Self::CallsCut => "calls are cut by the end of the grace",
            Self::Stopped => "stopped",
            Self::SettingsChanged => "settings file has changed; read at the next start",
            Self::Change(_) => "change",
            Self::AnnouncementRefused { .. } => "announcement refused",
            Self::HeartbeatRefused { .. } => "heartbeat refused",
            Self::HeartbeatFailed { .. } => "heartbeat failed",
            Self::Call(_) => "call",
            Self::Door(_) => "door",
        }
    }

    /// By which bound its lines are limited.
    pub const fn class(&self) -> LogClass {
        match self {
            Self::Started { .. }
            | Self::Stopping { .. }
            | Self::CallsCut
            | Self::Stopped
            | Self::SettingsChanged => LogClass::Lifecycle,
            Self::Change(_) => LogClass::Change,
            Self::AnnouncementRefused { .. }
            | Self::HeartbeatRefused { .. }
            | Self::HeartbeatFailed { .. } => LogClass::BadInput,
            Self::Call(CallRecord { outcome, .. }) | Self::Door(DoorRecord { outcome, .. }) => {
                outcome.class()
            }
        }
    }
}

impl CallOutcome {
    /// By which bound the lines of such calls are limited.
    pub const fn class(self) -> LogClass {
        match self {
            Self::Answered(_) => LogClass::Answer,
            Self::Failed { .. } => LogClass::Failure,
        }
    }
}
