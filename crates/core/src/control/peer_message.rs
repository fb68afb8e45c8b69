//! The messages between nodes.

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
    /// Request: a node that knows nobody yet asks to be admitted.
    Join(Peer),
    /// Reply to `Join`.
    Welcome {
        /// Entries of other nodes, a bounded sample of the table.
        peers: Vec<Peer>,
        /// The highest configuration version that the joining node is known to have had.
        floor: ConfigVersion,
        /// Whether the answering node knows its own floor. One that does not was
        /// started just now and can't tell what others remember.
        is_settled: bool,
        /// What the answering node holds.
        status: SyncStatus,
    },
    /// Request: a heartbeat.
    Ping(SyncStatus),
    /// Reply to `Ping` and `PingFor`.
    Pong(SyncStatus),
    /// Request: ping this node on the sender's behalf.
    PingFor(NodeId),
    /// Reply to `PingFor`: the node did not answer.
    NoAnswer(NodeId),
    /// Request: entries that are new to the sender.
    PeerUpdates(Vec<Peer>),
    /// Request: the digests of the sender's table, one a bucket.
    TableBuckets(Vec<u64>),
    /// Reply to `TableBuckets`: the entries of the buckets that differ. Reply to
    /// `PeerUpdates`: the entries that override those sent, if there are any.
    TableEntries(Vec<Peer>),
    /// Request: a new version, as a difference to the one before.
    ConfigPush(Delta),
    /// Request: the newest configuration, as a difference to the one with this digest if possible.
    ConfigPull(Option<Digest>),
    /// Reply to `ConfigPull`.
    ConfigDelta(Delta),
    /// Reply to `ConfigPull`: the whole configuration.
    ConfigSnapshot(Arc<Config>),
    /// Reply to `ConfigPull`: the node serves as many snapshots as it may; ask again later.
    Busy(Millis),
    /// Request: stop marks, with why they were set.
    StopMarks {
        /// The marks.
        marks: Vec<StopMark>,
        /// The configuration version in force where they were set; a later
        /// operator's command that clears them takes precedence.
        since: ConfigVersion,
        /// Why, in one sentence.
        reason: Arc<str>,
    },
    /// Request: what the sender counted at the backend server beside it, for the driver of its
    /// service's rollout.
    Evidence(EvidenceReport),
    /// Request: what the sender counted in a minute, for the collector of its data centre.
    Accounting(Box<AccountingRecord>),
    /// Reply: taken. States the configuration version that the answering node has now.
    Ack(ConfigVersion),
}
