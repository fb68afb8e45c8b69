//! State of the backend server beside this node.

use crate::peers::{AnnouncedBackend, BackendState};
use crate::units::{Instant, Micros, Millis};

/// Time for which an announcement is valid: three heartbeats of 1 s.
const ANNOUNCEMENT_TTL: Millis = Millis::new(3_000);

/// The backend server beside this node, as it last announced itself.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalBackend {
    /// Last announcement and the time at which it arrived.
    announced: Option<(AnnouncedBackend, Instant)>,
    /// Whether the backend server announced that it leaves. Its heartbeats don't revoke this;
    /// the announcement of a newly started process does.
    is_leaving: bool,
}

impl LocalBackend {
    /// Returns the backend server while its announcement is valid.
    pub(crate) fn current(&self) -> Option<&AnnouncedBackend> {
        self.announced.as_ref().map(|(backend, _)| backend)
    }

    pub(crate) fn announce(&mut self, mut backend: AnnouncedBackend, now: Instant) {
        self.is_leaving &= backend.state != BackendState::Starting;
        if self.is_leaving {
            backend.state = BackendState::Draining;
        }
        self.announced = Some((backend, now));
    }

    pub(crate) fn leave(&mut self) {
        self.is_leaving = true;
        if let Some((backend, _)) = &mut self.announced {
            backend.state = BackendState::Draining;
        }
    }

    /// Drops the announcement if it is no longer valid.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_valid = |at: Instant| now.since(at) < Micros::from(ANNOUNCEMENT_TTL);
        if self.announced.as_ref().is_some_and(|(_, at)| !is_valid(*at)) {
            *self = Self::default();
        }
    }
}
