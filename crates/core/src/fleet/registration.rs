//! The registration of the backend server beside a node.

use crate::fleet::{AnnouncedState, Announcement, BackendStatus};
use crate::ids::BackendId;
use crate::units::{Instant, Millis, UnixMillis};

/// What an announcement or a notice of leaving changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatOutcome {
    /// Calls see something new.
    Changed,
    /// It is known and unchanged.
    Renewed,
    /// It belongs to an earlier start or came out of order, and was ignored.
    Outdated,
}

/// The backend server beside a node, as it announces itself.
///
/// Announcements may come late: those of an earlier start, and those with a sequence that
/// is not above the last one, change nothing. A server that has begun to leave never
/// returns under the same id and start.
#[derive(Debug, Default)]
pub struct Registration {
    current: Option<Current>,
    /// The last start that left, so that its late announcements don't bring it back.
    left: Option<(BackendId, UnixMillis)>,
}

#[derive(Debug)]
struct Current {
    status: BackendStatus,
    sequence: u64,
    heard: Instant,
    cold_until: Instant,
}

impl Registration {
    /// Time without an announcement after which the server is taken as gone: three missed
    /// heartbeats and their usual delay.
    pub const EXPIRY: Millis = Millis::new(6_000);

    /// Takes an announcement.
    pub fn announce(&mut self, now: Instant, announcement: &Announcement) -> BeatOutcome {
        let start = (announcement.id.clone(), announcement.born);
        if self.left.as_ref() == Some(&start) {
            return BeatOutcome::Outdated;
        }
        if let Some(current) = &self.current {
            let known = &current.status;
            let is_same = known.id == announcement.id && known.born == announcement.born;
            let is_older = announcement.born < known.born
                || (is_same && announcement.sequence <= current.sequence);
            if is_older {
                return BeatOutcome::Outdated;
            }
        } else if self.left.as_ref().is_some_and(|(_, born)| announcement.born < *born) {
            return BeatOutcome::Outdated;
        }
        let status = self.status_after(announcement);
        let current = Current {
            status,
            sequence: announcement.sequence,
            heard: now,
            cold_until: now + announcement.cold,
        };
        let is_changed = self.current.as_ref().is_none_or(|old| old.status != current.status);
        self.current = Some(current);
        if is_changed { BeatOutcome::Changed } else { BeatOutcome::Renewed }
    }

    /// Takes the notice that the server `id` leaves. `born` names its start if it is known.
    pub fn leave(&mut self, id: &BackendId, born: Option<UnixMillis>) -> BeatOutcome {
        let Some(current) = &self.current else { return BeatOutcome::Outdated };
        let known = &current.status;
        if known.id != *id || born.is_some_and(|born| born != known.born) {
            return BeatOutcome::Outdated;
        }
        self.left = Some((known.id.clone(), known.born));
        self.current = None;
        BeatOutcome::Changed
    }

    /// Forgets a server that has been silent for too long, and ends a cold start.
    /// Whether something changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        let Some(current) = &mut self.current else { return false };
        if now.since(current.heard) > Self::EXPIRY.into() {
            self.current = None;
            return true;
        }
        if current.status.is_cold && current.cold_until <= now {
            current.status.is_cold = false;
            return true;
        }
        false
    }

    /// The server, if one is known.
    pub fn backend(&self) -> Option<&BackendStatus> {
        self.current.as_ref().map(|current| &current.status)
    }

    fn status_after(&self, announcement: &Announcement) -> BackendStatus {
        let was_draining = self.current.as_ref().is_some_and(|current| {
            let known = &current.status;
            known.id == announcement.id
                && known.born == announcement.born
                && known.state == AnnouncedState::Draining
        });
        BackendStatus {
            id: announcement.id.clone(),
            born: announcement.born,
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            slots: announcement.slots,
            state: if was_draining { AnnouncedState::Draining } else { announcement.state },
            is_cold: announcement.cold.get() > 0,
        }
    }
}
