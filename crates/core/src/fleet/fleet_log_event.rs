//! What a node of a fleet writes into its log.

use std::net::SocketAddr;

use crate::fleet::{CallRecord, FleetChange, InboundCallRecord, LogClass};

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
    /// The state of the node changed.
    Change(FleetChange),
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
    /// A call of another node, or of a caller of this one, ended at the backend server beside this
    /// node.
    InboundCall(InboundCallRecord),
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
            Self::InboundCall(_) => "door",
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
            Self::Call(CallRecord { outcome, .. })
            | Self::InboundCall(InboundCallRecord { outcome, .. }) => outcome.class(),
        }
    }
}
