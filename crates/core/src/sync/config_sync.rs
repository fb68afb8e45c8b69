//! Configuration held by a node and its transfer to other nodes.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::config::{Config, Delta, DeltaError, check};
use crate::control::PeerMessage;
use crate::ids::{ConfigVersion, Digest};
use crate::sync::Offer;
use crate::units::{Instant, Micros, Millis};

/// Maximum number of snapshots that a node serves per second. At 1 MB each, more would
/// disturb the calls on the host's network.
pub const SNAPSHOTS_PER_SECOND: usize = 4;
/// Number of earlier versions kept as bases for deltas.
const MAX_DELTA_BASES: usize = 4;
/// Time over which served snapshots are counted for the rate limit.
const SNAPSHOT_RATE_WINDOW: Millis = Millis::new(1_000);

/// The configuration in force, with recent versions from which deltas are computed.
///
/// A configuration in force here may not be published to traffic yet.
#[derive(Debug, Clone, Default)]
pub struct ConfigSync {
    /// Recent versions, oldest first; the last one is in force. Each is valid and higher than
    /// the one before it.
    versions: VecDeque<RecentVersion>,
    /// Times at which snapshots were served within the rate window, oldest first.
    snapshots_served: VecDeque<Instant>,
}

#[derive(Debug, Clone)]
struct RecentVersion {
    config: Arc<Config>,
    digest: Digest,
}

impl ConfigSync {
    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.versions.back().map(|held| &held.config)
    }

    /// Returns the version in force, or zero if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config().map(|cfg| cfg.version).unwrap_or_default()
    }

    /// Returns the digest of the configuration in force.
    pub fn digest(&self) -> Option<Digest> {
        self.versions.back().map(|held| held.digest)
    }

    /// Puts `config` in force if its version is higher than the one in force and its content is
    /// valid.
    pub fn offer(&mut self, config: Arc<Config>) -> Offer {
        if let Some(refused) = self.reject_version(config.version) {
            return refused;
        }
        if check(&config.content).is_err() {
            return Offer::Invalid;
        }
        let digest = config.digest();
        self.versions.push_back(RecentVersion { config, digest });
        if self.versions.len() > MAX_DELTA_BASES + 1 {
            self.versions.pop_front();
        }
        Offer::Applied
    }

    /// Puts the result of `delta` in force if its base is the configuration in force, under the
    /// conditions of [`offer`](Self::offer).
    pub fn offer_delta(&mut self, delta: &Delta) -> Offer {
        if let Some(refused) = self.reject_version(delta.version) {
            return refused;
        }
        let Some(held) = self.versions.back().filter(|held| held.digest == delta.base) else {
            return Offer::WrongBase;
        };
        match delta.apply(&held.config) {
            Ok(config) => self.offer(Arc::new(config)),
            Err(DeltaError::WrongBase) => Offer::WrongBase,
            Err(DeltaError::WrongResult) => Offer::Invalid,
        }
    }

    /// Returns the delta from the previous version to the one in force, if there is a previous
    /// version.
    pub fn last_delta(&self) -> Option<Delta> {
        let before = self.versions.len().checked_sub(2)?;
        Some(Delta::between(&self.versions[before].config, self.config()?))
    }

    /// Returns the reply to a pull by a node that holds the configuration with the digest
    /// `theirs`: a delta if that version is kept here, otherwise a snapshot within the rate
    /// limit.
    pub fn answer_pull(&mut self, theirs: Option<Digest>, now: Instant) -> PeerMessage {
        let Some(held) = self.versions.back().filter(|held| Some(held.digest) != theirs) else {
            return PeerMessage::Ack(self.version());
        };
        let base = self.versions.iter().find(|held| Some(held.digest) == theirs);
        if let Some(base) = base {
            return PeerMessage::ConfigDelta(Delta::between(&base.config, &held.config));
        }
        let snapshot = held.config.clone();
        match self.reserve_snapshot(now) {
            Ok(()) => PeerMessage::ConfigSnapshot(snapshot),
            Err(wait) => PeerMessage::Busy(wait),
        }
    }

    /// Counts a snapshot against the rate limit, or returns the time to wait for one.
    fn reserve_snapshot(&mut self, now: Instant) -> Result<(), Millis> {
        let window = Micros::from(SNAPSHOT_RATE_WINDOW);
        while self.snapshots_served.front().is_some_and(|at| now.since(*at) >= window) {
            self.snapshots_served.pop_front();
        }
        if self.snapshots_served.len() >= SNAPSHOTS_PER_SECOND {
            return Err(SNAPSHOT_RATE_WINDOW);
        }
        self.snapshots_served.push_back(now);
        Ok(())
    }

    fn reject_version(&self, version: ConfigVersion) -> Option<Offer> {
        if version < self.version() {
            Some(Offer::Older)
        } else if version == self.version() {
            Some(Offer::Same)
        } else {
            None
        }
    }
}
