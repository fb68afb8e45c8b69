//! Requests that wait for a reply.

use std::net::SocketAddr;

use crate::control::RequestId;
use crate::ids::{ConfigVersion, NodeId};
use crate::store::JobId;
use crate::units::Instant;

/// Purpose of a request that waits for a reply.
#[derive(Debug, Clone)]
pub(crate) enum PendingRequest {
    /// Joins the installation through a seed.
    JoinSeed,
    /// Asks a peer for this node's version floor, or makes this node known to it again.
    JoinPeer,
    /// Checks that a link is alive.
    Ping { target: NodeId, sent: Instant },
    /// Asks a relay to check that `target` is alive.
    IndirectPing { target: NodeId },
    /// Checks that `target` is alive for another node, which sent `relay_request`.
    RelayedPing { target: NodeId, relay_request: RequestId },
    /// Checks whether a dead peer or a seed answers, or sends an extra heartbeat.
    Probe { to: SocketAddr },
    /// Compares peer tables with `peer`.
    CompareTables { peer: NodeId },
    /// Sends changed peer table entries to `peer`.
    Updates { peer: NodeId },
    /// Pushes a new configuration version to `peer`.
    Push { peer: NodeId, version: ConfigVersion },
    /// Pulls a newer configuration from `peer`.
    Pull { peer: NodeId },
    /// Sends stop marks to `peer`.
    StopMarks { peer: NodeId },
    /// Sends an evidence report to the driver of a rollout.
    Evidence,
    /// Sends the accounting record of a minute to the collector.
    Accounting,
    /// Reads or writes the accounting sums of an hour in the store.
    StoreHour,
    /// Reads or watches the configuration in the store.
    StoreRead,
    /// Reads or writes the configuration in the store for a job of the writer.
    StoreWrite(JobId),
}
