//! The requests that wait for their reply.

use std::net::SocketAddr;

use crate::control::RequestId;
use crate::ids::{ConfigVersion, NodeId};
use crate::store::JobId;
use crate::units::Instant;

/// What a request was sent for.
#[derive(Debug, Clone)]
pub(crate) enum PendingRequest {
    /// To be admitted by a seed.
    JoinSeed,
    /// To learn this node's version floor, or to be known to a peer again.
    JoinPeer,
    /// To see that a link lives.
    Ping { target: NodeId, sent: Instant },
    /// To have another link see that `target` lives.
    IndirectPing { target: NodeId },
    /// To see on behalf of another node that `target` lives.
    RelayedPing { target: NodeId, relay_request: RequestId },
    /// To find out whether a dead peer or a seed lives.
    Probe { to: SocketAddr },
    /// To compare tables with `peer`.
    CompareTables { peer: NodeId },
    /// To tell `peer` of changed entries.
    Updates { peer: NodeId },
    /// To hand `peer` a new version.
    Push { peer: NodeId, version: ConfigVersion },
    /// To get a newer configuration from `peer`.
    Pull { peer: NodeId },
    /// To tell a peer of stop marks.
    StopMarks { peer: NodeId },
    /// To hand evidence to the driver of a rollout.
    Evidence,
    /// To hand the record of a minute to the collector.
    Accounting,
    /// To add to the sums of an hour in the store.
    StoreHour,
    /// To read or watch the store.
    StoreRead,
    /// To bring on a job of the writer.
    StoreWrite(JobId),
}
