//! Events that a node of a fleet writes to its log.

use std::net::SocketAddr;

use crate::fleet::{CallRecord, ConnectionEnd, FleetChange, InboundCallRecord, LogClass};
use crate::units::Micros;

/// An event that a node of a fleet writes to its log.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetLogEvent {
    /// The node has started to serve.
    Started {
        /// The address at which the node takes callers' requests.
        callers: SocketAddr,
        /// The address at which the node takes calls of other nodes.
        nodes: SocketAddr,
    },
    /// The node was told to stop.
    Stopping {
        /// The name of the signal that stops the node.
        signal: &'static str,
    },
    /// The control thread has ended, so that the node follows nothing more.
    ControlEnded,
    /// The grace period of a planned stop ended before all calls had ended.
    CallsAborted,
    /// The node is about to exit.
    Stopped,
    /// The settings file has changed; it is read at the next start.
    SettingsChanged,
    /// The state of the node changed.
    Change(FleetChange),
    /// An announcement of a backend server can't be read.
    AnnouncementRefused {
        /// The server that the announcement names.
        server: String,
        /// The reason why it can't be read.
        problem: String,
    },
    /// A datagram from another node can't be read.
    HeartbeatRefused {
        /// The address that the datagram came from.
        from: SocketAddr,
        /// The reason why it can't be read.
        problem: String,
    },
    /// A heartbeat could not be sent or received.
    HeartbeatFailed {
        /// The message of the error that occurred.
        problem: String,
    },
    /// The control state handled a tick so late that it acts on old state.
    ControlLate {
        /// The time since the tick was due.
        delay: Micros,
    },
    /// A caller's request ended.
    Call(CallRecord),
    /// A call to the backend server beside this node ended. It came from another node or from a
    /// caller of this one.
    InboundCall(InboundCallRecord),
    /// A connection ended with requests that had been read and were not answered.
    Unanswered {
        /// The listener that had accepted the connection: `callers` or `nodes`.
        listener: &'static str,
        /// How the connection ended.
        end: ConnectionEnd,
        /// The number of unanswered requests.
        requests: usize,
    },
}

impl FleetLogEvent {
    /// Returns the message of the log record.
    pub const fn message(&self) -> &'static str {
        match self {
            Self::Started { .. } => "started",
            Self::Stopping { .. } => "stopping",
            Self::ControlEnded => "control thread has ended; not ready until the next start",
            Self::CallsAborted => "calls are cut by the end of the grace",
            Self::Stopped => "stopped",
            Self::SettingsChanged => "settings file has changed; read at the next start",
            Self::Change(_) => "change",
            Self::AnnouncementRefused { .. } => "announcement refused",
            Self::HeartbeatRefused { .. } => "heartbeat refused",
            Self::HeartbeatFailed { .. } => "heartbeat failed",
            Self::ControlLate { .. } => "control state is late",
            Self::Call(_) => "call",
            Self::InboundCall(_) => "door",
            Self::Unanswered { .. } => "unanswered",
        }
    }

    /// Returns the log class whose rate limit applies to the event.
    pub const fn class(&self) -> LogClass {
        match self {
            Self::Started { .. }
            | Self::Stopping { .. }
            | Self::ControlEnded
            | Self::CallsAborted
            | Self::Stopped
            | Self::SettingsChanged => LogClass::Lifecycle,
            Self::Change(_) | Self::ControlLate { .. } => LogClass::Change,
            Self::AnnouncementRefused { .. }
            | Self::HeartbeatRefused { .. }
            | Self::HeartbeatFailed { .. } => LogClass::BadInput,
            Self::Unanswered { .. } => LogClass::Failure,
            Self::Call(CallRecord { outcome, .. })
            | Self::InboundCall(InboundCallRecord { outcome, .. }) => outcome.class(),
        }
    }
}
