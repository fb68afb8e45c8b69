//! The backend server beside this node.

use crate::peers::{AnnouncedBackend, BackendState};
use crate::units::{Instant, Micros, Millis};

/// An announcement holds for this long: three heartbeats of 1 s.
const ANNOUNCEMENT_TTL: Millis = Millis::new(3_000);

/// The backend server beside this node, as far as it announces itself.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalBackend {
    announced: Option<(AnnouncedBackend, Instant)>,
    /// Whether it said that it leaves. Its heartbeats don't revoke this; the
    /// announcement of a newly started one does.
    is_leaving: bool,
}

impl LocalBackend {
    /// The backend server while its announcement holds.
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

    /// Drops the announcement if it no longer holds.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_valid = |at: Instant| now.since(at) < Micros::from(ANNOUNCEMENT_TTL);
        if self.announced.as_ref().is_some_and(|(_, at)| !is_valid(*at)) {
            *self = Self::default();
        }
    }
}
