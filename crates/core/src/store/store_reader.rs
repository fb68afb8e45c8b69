//! Reader of the configuration in the store.

use rand::Rng;

use crate::control::Backoff;
use crate::ids::ConfigVersion;
use crate::store::{
    ReadResult, ReaderRole, Revision, StoreError, StoreReply, StoreRequest, StoredConfig,
};
use crate::units::{Instant, Millis};

/// Number of nodes in each data centre that watch the store.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// Bound of the delay after the first failed request.
const INITIAL_BACKOFF: Millis = Millis::new(200);
/// Largest bound of the delay between failed requests.
const MAX_BACKOFF: Millis = Millis::new(2_000);
/// Largest random delay before the first read of a node that knows no other node. It keeps
/// 1,400 nodes that start together under the store's limit of 2,000 reads per second.
const MAX_ALONE_DELAY: Millis = Millis::new(1_000);

/// Decides when this node reads and watches the configuration in the store.
#[derive(Debug, Clone)]
pub struct StoreReader {
    role: ReaderRole,
    /// Whether a request is pending. There is at most one.
    is_request_pending: bool,
    next_request: Instant,
    /// Revision last read; `None` before the first read. Never goes down. A watch that ends
    /// with this revision or an older one is stale.
    revision: Option<Revision>,
    backoff: Backoff,
}

impl Default for StoreReader {
    fn default() -> Self {
        Self {
            role: ReaderRole::None,
            is_request_pending: false,
            next_request: Instant::default(),
            revision: None,
            backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
        }
    }
}

impl StoreReader {
    /// Returns the reason for which this node reads the store now.
    pub const fn role(&self) -> ReaderRole {
        self.role
    }

    /// Sets the node's role. Returns whether it became or ceased to be a reader.
    pub fn set_role(&mut self, role: ReaderRole, now: Instant, rng: &mut impl Rng) -> bool {
        let before = std::mem::replace(&mut self.role, role);
        match (before, role) {
            (ReaderRole::None, ReaderRole::Alone) => {
                self.next_request = now + Millis::new(rng.random_range(0..=MAX_ALONE_DELAY.get()));
            }
            (ReaderRole::Alone, ReaderRole::Ranked) if self.revision.is_none() => {
                self.next_request = now
            }
            _ => {}
        }
        (before == ReaderRole::None) != (role == ReaderRole::None)
    }

    /// Returns the request that is due now and marks it as pending.
    pub fn poll(&mut self, now: Instant) -> Option<StoreRequest> {
        if self.role == ReaderRole::None || self.is_request_pending || now < self.next_request {
            return None;
        }
        self.is_request_pending = true;
        Some(match self.revision {
            None => StoreRequest::Read,
            Some(revision) => StoreRequest::Watch(revision),
        })
    }

    /// Handles the reply to the pending request. `held` is the version that this node holds.
    pub fn reply(
        &mut self,
        reply: StoreReply,
        held: ConfigVersion,
        now: Instant,
        rng: &mut impl Rng,
    ) -> ReadResult {
        self.is_request_pending = false;
        let result = match reply {
            StoreReply::Value(value) => self.handle_value(value, held),
            StoreReply::Unchanged => ReadResult::Nothing,
            StoreReply::Failed(StoreError::Corrupt) => ReadResult::Corrupt,
            StoreReply::Failed(_) | StoreReply::Written(_) | StoreReply::Hour(_) => {
                ReadResult::Failed
            }
        };
        match result {
            ReadResult::Nothing | ReadResult::Config(_) => self.backoff.reset(),
            // Without a backoff, a watch on a stale value would return immediately each time.
            ReadResult::Stale(_) | ReadResult::Corrupt | ReadResult::Failed => {
                self.next_request = now + self.backoff.next_delay(rng);
            }
        }
        result
    }

    fn handle_value(&mut self, value: StoredConfig, held: ConfigVersion) -> ReadResult {
        let version = value.config.as_ref().map(|cfg| cfg.version).unwrap_or_default();
        if version < held || self.revision.is_some_and(|seen| value.revision <= seen) {
            return ReadResult::Stale(version);
        }
        self.revision = Some(value.revision);
        match value.config {
            Some(config) if version > held => ReadResult::Config(config),
            _ => ReadResult::Nothing,
        }
    }
}
