//! An announcement that may be a late one of a server that has left.

use crate::fleet::{Announcement, Departure};
use crate::ids::BackendId;
use crate::units::{Instant, Millis, UnixMillis};

/// Holds back the announcement of a server that ran before its node started, until another one
/// shows that the server has not left. The announcement is refused, so that a server that runs soon
/// sends the next one.
///
/// After the loss of all nodes nobody may remember a departure that the store has not recorded, and
/// an announcement from before it can arrive seconds late.
#[derive(Debug, Default)]
pub(super) struct HeldAnnouncement {
    /// The start of a server that is known to run, or was when it was last heard of.
    running: Option<(BackendId, UnixMillis)>,
    held: Option<(Announcement, Instant)>,
}

impl HeldAnnouncement {
    /// The shortest time between a refused announcement and one that confirms it. Late announcements
    /// may arrive together.
    const MIN_SPACING: Millis = Millis::new(20);
    /// A server that started at most this long before its node is not held back: it may have started
    /// while the node restarted, and a server doesn't leave so soon after its start.
    const START_MARGIN: Millis = Millis::new(3_000);

    /// Returns whether a server that started at `started_at` may have left before its node started.
    pub(super) fn may_have_left(started_at: UnixMillis, node_started_at: UnixMillis) -> bool {
        started_at + Self::START_MARGIN < node_started_at
    }

    /// Returns whether `announcement`, which arrives at `now`, shows that its server runs: an earlier
    /// one of the same start was held back. Holds it back otherwise.
    pub(super) fn confirms(&mut self, now: Instant, announcement: &Announcement) -> bool {
        if self.running.as_ref() == Some(&start_of(announcement)) {
            return true;
        }
        let is_same_start =
            |(held, _): &&(Announcement, Instant)| start_of(held) == start_of(announcement);
        let Some((held, arrived_at)) = self.held.as_ref().filter(is_same_start) else {
            self.held = Some((announcement.clone(), now));
            return false;
        };
        held.sequence < announcement.sequence && now.since(*arrived_at) >= Self::MIN_SPACING.into()
    }

    /// Records that the server of `announcement` runs.
    pub(super) fn set_running(&mut self, announcement: &Announcement) {
        self.running = Some(start_of(announcement));
        self.held = None;
    }

    /// Takes the announcement that is held back.
    pub(super) fn take(&mut self) -> Option<Announcement> {
        self.held.take().map(|(announcement, _)| announcement)
    }

    /// Drops the announcement that is held back if its server has left by `departure`.
    pub(super) fn forget_departed(&mut self, departure: &Departure) {
        let is_left = |held: &Announcement| {
            held.id == departure.id
                && departure.started_at.is_none_or(|left| held.started_at <= left)
        };
        self.held.take_if(|(held, _)| is_left(held));
    }

    /// Returns whether an announcement is held back.
    pub(super) const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns whether an announcement of the server `id` is held back.
    pub(super) fn is_of(&self, id: &BackendId) -> bool {
        self.held.as_ref().is_some_and(|(held, _)| held.id == *id)
    }
}

fn start_of(announcement: &Announcement) -> (BackendId, UnixMillis) {
    (announcement.id.clone(), announcement.started_at)
}
