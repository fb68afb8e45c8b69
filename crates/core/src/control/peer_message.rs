//! Messages between nodes: requests and their replies.

use std::sync::Arc;

use crate::config::{Config, Delta, StopMark};
use crate::control::SyncStatus;
use crate::ids::{ConfigVersion, Digest, NodeId};
use crate::peers::Peer;
use crate::report::AccountingRecord;
use crate::rollout::EvidenceReport;
use crate::units::Millis;

/// A message between nodes. Each request is answered by exactly one reply.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Request: asks to be added to the peer table. Carries the sender's own entry.
    Join(Peer),
    /// Reply to `Join`: the answering node has added the sender to its peer table.
    Welcome {
        /// Entries of the answering node's peer table: a bounded sample.
        peers: Vec<Peer>,
        /// Highest configuration version that the joining node is known to have held.
        floor: ConfigVersion,
        /// Whether the answering node knows its own floor. A node that does not has only just
        /// started, so its `floor` does not rule out a higher one.
        is_settled: bool,
        /// Version and digests of the state that the answering node holds.
        status: SyncStatus,
    },
    /// Request: a heartbeat with the sender's status.
    Ping(SyncStatus),
    /// Reply to `Ping` and `PingFor`: the status of the node that was pinged.
    Pong(SyncStatus),
    /// Request: ping this node on the sender's behalf (an indirect ping).
    PingFor(NodeId),
    /// Reply to `PingFor`: the node with this id did not answer.
    NoAnswer(NodeId),
    /// Request: peer table entries that changed at the sender.
    PeerUpdates(Vec<Peer>),
    /// Request: the digests of the buckets of the sender's peer table.
    TableBuckets(Vec<u64>),
    /// Reply to `TableBuckets`: the entries of the buckets that differ. Reply to
    /// `PeerUpdates`: the entries that override those sent, if there are any.
    TableEntries(Vec<Peer>),
    /// Request: a new configuration, as a delta to the version before it.
    ConfigPush(Delta),
    /// Request: the newest configuration, if possible as a delta to the one with this digest.
    /// `None` asks for a snapshot.
    ConfigPull(Option<Digest>),
    /// Reply to `ConfigPull`: a delta to the configuration that the asking node holds.
    ConfigDelta(Delta),
    /// Reply to `ConfigPull`: the whole configuration.
    ConfigSnapshot(Arc<Config>),
    /// Reply to `ConfigPull`: the limit of snapshots is reached; ask again after this time.
    Busy(Millis),
    /// Request: stop marks that share their origin.
    StopMarks {
        /// Stop marks to put in force.
        marks: Vec<StopMark>,
        /// Configuration version in force where the marks were set. An operator's command that
        /// clears them in a later version takes precedence.
        config_version: ConfigVersion,
        /// Reason for the stop, in one sentence.
        reason: Arc<str>,
    },
    /// Request: calls counted by the sender at the backend server beside it, for the driver of
    /// its service's rollout.
    Evidence(EvidenceReport),
    /// Request: calls and costs counted by the sender in one minute, for the collector of its
    /// data centre.
    Accounting(Box<AccountingRecord>),
    /// Reply: the request was handled. Carries the configuration version that the answering
    /// node now holds.
    Ack(ConfigVersion),
}
