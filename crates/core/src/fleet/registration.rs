//! The registration of the backend server beside a node.

use crate::fleet::{
    AnnouncedState, Announcement, BackendStatus, BackendWarmth, ColdLimiter, Departure, Departures,
};
use crate::units::{Instant, Millis, UnixMillis};

/// What an announcement or a notice of leaving changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The state that calls see has changed.
    Changed,
    /// The notice was accepted and changed nothing that calls see.
    Renewed,
    /// The server may have left, so the announcement counts only once another one follows.
    Held,
    /// The notice belongs to an earlier start, arrived out of order or can't come from the server,
    /// and was ignored.
    Outdated,
}

/// Tracks the backend server beside a node by its announcements.
///
/// Announcements may arrive late: those of an earlier start, and those with a sequence number that
/// is not above the last one, are ignored. A draining server counts as gone: it gets no new calls
/// and is not accepted again with the same id and start.
#[derive(Debug, Default)]
pub struct Registration {
    current: Option<RegisteredBackend>,
    /// The latest known start of a server and when it was last announced. Announcements of earlier
    /// starts are ignored for [`Departures::RETENTION`] after that.
    newest_start: Option<(UnixMillis, Instant)>,
    departures: Departures,
}

#[derive(Debug)]
struct RegisteredBackend {
    status: BackendStatus,
    sequence: u64,
    last_seen: Instant,
    cold_until: Instant,
    /// Since when the server may have restarted without an announcement.
    doubted_at: Option<Instant>,
}

impl Registration {
    /// A server without announcements for this long counts as gone: three missed heartbeats and
    /// their usual delay.
    pub const ANNOUNCEMENT_TIMEOUT: Millis = Millis::new(6_000);
    /// The longest time for which a server can announce that it is cold.
    pub const MAX_COLD_TIME: Millis = Millis::new(24 * 3_600_000);
    /// How far ahead of the time of day a start may lie. Covers a clock that was set back since.
    const MAX_START_LEAD: Millis = Millis::new(24 * 3_600_000);

    /// Returns whether a server can have started at `started_at`, by the time of day. A start in
    /// the far future would make every later announcement count as outdated.
    pub fn is_possible_start(started_at: UnixMillis, wall: UnixMillis) -> bool {
        started_at <= wall + Self::MAX_START_LEAD
    }

    /// Handles an announcement of the backend server beside the node.
    pub fn announce(&mut self, now: Instant, announcement: &Announcement) -> AnnouncementOutcome {
        let is_outdated = self.has_left(announcement)
            || self.newest_start.is_some_and(|(newest, _)| announcement.started_at < newest)
            || self.current.as_ref().is_some_and(|current| current.is_newer_than(announcement));
        if is_outdated {
            return AnnouncementOutcome::Outdated;
        }
        self.newest_start = Some((announcement.started_at, now));
        if announcement.state == AnnouncedState::Draining {
            let (id, started_at) = (announcement.id.clone(), Some(announcement.started_at));
            return self.depart(now, &Departure { id, started_at });
        }
        let cold = announcement.cold.min(Self::MAX_COLD_TIME);
        // The former process of a server that has just restarted may have sent the announcement.
        let doubted_at = self.current.as_ref().and_then(|current| current.doubted_at);
        let doubted_at = doubted_at.filter(|at| now < *at + ColdLimiter::SETTLE_TIME);
        let status = BackendStatus {
            id: announcement.id.clone(),
            started_at: announcement.started_at,
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            slots: announcement.slots,
            is_cold: cold.get() > 0 || doubted_at.is_some(),
        };
        let current = RegisteredBackend {
            status,
            sequence: announcement.sequence,
            last_seen: now,
            cold_until: now + cold,
            doubted_at,
        };
        let is_changed = self.current.as_ref().is_none_or(|old| old.status != current.status);
        self.current = Some(current);
        if is_changed { AnnouncementOutcome::Changed } else { AnnouncementOutcome::Renewed }
    }

    /// Returns whether the server of `announcement` is known to have left.
    pub fn has_left(&self, announcement: &Announcement) -> bool {
        self.departures.has_left(&announcement.id, announcement.started_at)
    }

    /// Returns `departure` with the start of the registered server if it names that server and no
    /// start.
    pub fn resolve(&self, departure: Departure) -> Departure {
        let known = self.backend().filter(|known| known.id == departure.id);
        let started_at = departure.started_at.or(known.map(|known| known.started_at));
        Departure { started_at, ..departure }
    }

    /// Records the departure of a start of a server.
    ///
    /// A server that is not known is recorded as well: the node may have restarted, and
    /// announcements of the server may still arrive.
    pub fn depart(&mut self, now: Instant, departure: &Departure) -> AnnouncementOutcome {
        let is_new = self.departures.record(now, departure);
        let has_left =
            |known: &BackendStatus| self.departures.has_left(&known.id, known.started_at);
        if self.backend().is_some_and(has_left) {
            self.current = None;
            return AnnouncementOutcome::Changed;
        }
        if is_new { AnnouncementOutcome::Renewed } else { AnnouncementOutcome::Outdated }
    }

    /// Returns departures to send to other nodes: recent ones, or all if `include_old`, of which
    /// each heartbeat carries those of its `turn`.
    pub fn departures(&self, now: Instant, include_old: bool, turn: u64) -> Vec<Departure> {
        self.departures.to_announce(now, include_old, turn)
    }

    /// Forgets a server that has been silent for too long, and ends a cold start. Returns whether
    /// something changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        self.departures.tick(now);
        let is_recent =
            |announced_at: Instant| now.since(announced_at) < Departures::RETENTION.into();
        self.newest_start = self.newest_start.filter(|(_, announced_at)| is_recent(*announced_at));
        let Some(current) = &mut self.current else { return false };
        if now.since(current.last_seen) > Self::ANNOUNCEMENT_TIMEOUT.into() {
            self.current = None;
            return true;
        }
        let is_doubted = current.doubted_at.is_some();
        if current.status.is_cold && !is_doubted && current.cold_until <= now {
            current.status.is_cold = false;
            return true;
        }
        false
    }

    /// Records that the server may have restarted at `at` without an announcement. It counts as cold
    /// until the next one.
    pub fn doubt(&mut self, at: Instant) {
        let Some(current) = &mut self.current else { return };
        if current.last_seen < at + ColdLimiter::SETTLE_TIME {
            current.doubted_at = current.doubted_at.max(Some(at));
            current.status.is_cold = true;
        }
    }

    /// Returns what is known of the registered server's warmth; `None` if none takes calls.
    pub fn warmth(&self) -> Option<BackendWarmth> {
        let current = self.current.as_ref()?;
        Some(BackendWarmth { is_cold: current.status.is_cold, announced_at: current.last_seen })
    }

    /// Returns the registered server; `None` if none takes calls.
    pub fn backend(&self) -> Option<&BackendStatus> {
        self.current.as_ref().map(|current| &current.status)
    }
}

impl RegisteredBackend {
    /// Returns whether the registered state is newer than `announcement`.
    fn is_newer_than(&self, announcement: &Announcement) -> bool {
        let is_same =
            self.status.id == announcement.id && self.status.started_at == announcement.started_at;
        announcement.started_at < self.status.started_at
            || (is_same && announcement.sequence <= self.sequence)
    }
}
