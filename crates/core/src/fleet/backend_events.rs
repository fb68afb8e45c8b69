//! Handles what the backend server beside a node says of itself, and departures.

use super::fleet_control::FleetControl;
use super::held_announcement::HeldAnnouncement;
use super::peer::Peer;
use crate::fleet::{
    AnnouncedState, Announcement, AnnouncementOutcome, ConfigText, Departure, FleetChange,
    NoticeAnswer, Registration,
};
use crate::ids::BackendId;
use crate::units::{Instant, Millis, UnixMillis};

impl FleetControl {
    /// The largest difference between the starts of nodes that were all lost at the same time, by
    /// their clocks.
    const MAX_START_SPREAD: Millis = Millis::new(5_000);

    pub(super) fn handle_announcement(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        announcement: &Announcement,
    ) {
        let id = announcement.id.clone();
        if announcement.cold > Registration::MAX_COLD_TIME {
            self.report(FleetChange::ColdTimeTooLong(id.clone(), announcement.cold));
        }
        let is_possible = Registration::is_possible_start(announcement.started_at, wall);
        let outcome = if !is_possible || !self.is_from_local_backend(announcement) {
            AnnouncementOutcome::Outdated
        } else if self.is_held_back(now, announcement) {
            AnnouncementOutcome::Held
        } else {
            self.register(now, announcement)
        };
        if announcement.state == AnnouncedState::Draining
            && outcome != AnnouncementOutcome::Outdated
        {
            let departure = Departure { id: id.clone(), started_at: Some(announcement.started_at) };
            self.held_announcement.forget_departed(&departure);
            self.departure_records.add(now, departure);
            self.has_new_departures = true;
        }
        self.report_backend(id, "announced itself", outcome);
    }

    fn register(&mut self, now: Instant, announcement: &Announcement) -> AnnouncementOutcome {
        let outcome = self.registration.announce(now, announcement);
        if outcome != AnnouncementOutcome::Outdated {
            self.held_announcement.set_running(announcement);
        }
        outcome
    }

    /// Returns whether `announcement` does not count yet, because nobody may remember that its server
    /// has left. Holds it back then.
    fn is_held_back(&mut self, now: Instant, announcement: &Announcement) -> bool {
        let node_started_at = UnixMillis::new(self.identity.incarnation.get());
        announcement.state == AnnouncedState::Ready
            && HeldAnnouncement::may_have_left(announcement.started_at, node_started_at)
            && !self.registration.has_left(announcement)
            && !self.do_peers_remember()
            && !self.held_announcement.confirms(now, announcement)
    }

    /// Returns whether other nodes run since before this one was lost, so that they remember
    /// departures that the store may lack.
    fn do_peers_remember(&self) -> bool {
        let own = self.identity.incarnation.get();
        let is_older = |peer: &Peer| {
            let started = peer.incarnation().map(|incarnation| incarnation.get());
            started.is_some_and(|at| at.saturating_add(Self::MAX_START_SPREAD.get()) <= own)
        };
        self.peers.live().any(is_older)
    }

    /// Lets the announcement that is held back count once other nodes are known to remember
    /// departures, of which they have told.
    pub(super) fn release_held_announcement(&mut self, now: Instant) {
        if !self.held_announcement.is_held() || !self.do_peers_remember() {
            return;
        }
        if let Some(announcement) = self.held_announcement.take() {
            let outcome = self.register(now, &announcement);
            self.report_backend(announcement.id, "announced itself", outcome);
        }
    }

    /// Returns how the notice that the server `id` sent last is to be answered at `now`.
    pub fn notice_answer(&self, now: Instant, id: &BackendId) -> NoticeAnswer {
        if self.held_announcement.is_of(id) {
            NoticeAnswer::Refuse
        } else if self.departure_records.may_acknowledge(now, id) {
            NoticeAnswer::Acknowledge
        } else {
            NoticeAnswer::Wait
        }
    }

    /// Reports the departures that the store has recorded, and those that it has not in time.
    pub(super) fn report_departure_records(&mut self, now: Instant) {
        for change in self.departure_records.take_changes(now) {
            self.report(change);
        }
    }

    /// Returns whether an announcement can come from the backend server beside this node, by its
    /// address and service.
    fn is_from_local_backend(&self, announcement: &Announcement) -> bool {
        let is_known = |text: &ConfigText| text.config.services.contains_key(&announcement.service);
        announcement.address == self.identity.backend
            && (announcement.service == self.identity.service
                || self.config.as_ref().is_some_and(is_known))
    }

    pub(super) fn handle_leaving(&mut self, now: Instant, wall: UnixMillis, departure: Departure) {
        let id = departure.id.clone();
        if !is_possible_departure(&departure, wall) {
            return self.report_backend(id, "leaves", AnnouncementOutcome::Outdated);
        }
        let departure = self.registration.resolve(departure);
        let outcome = self.registration.depart(now, &departure);
        self.held_announcement.forget_departed(&departure);
        self.departure_records.add(now, departure);
        self.has_update = true;
        self.has_new_departures = true;
        self.report_backend(id, "leaves", outcome);
    }

    /// Records a departure that the store or another node reported.
    pub(super) fn record_departure(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        departure: &Departure,
    ) {
        if !is_possible_departure(departure, wall) {
            return;
        }
        self.held_announcement.forget_departed(departure);
        match self.registration.depart(now, departure) {
            AnnouncementOutcome::Changed => self.mark_changed(),
            // The nodes that told of it may not reach all others.
            AnnouncementOutcome::Renewed if self.peers.has_relays() => {
                self.has_update = true;
                self.has_new_departures = true;
            }
            AnnouncementOutcome::Renewed
            | AnnouncementOutcome::Held
            | AnnouncementOutcome::Outdated => {}
        }
    }

    fn report_backend(
        &mut self,
        id: BackendId,
        notice: &'static str,
        outcome: AnnouncementOutcome,
    ) {
        match outcome {
            AnnouncementOutcome::Renewed => return,
            AnnouncementOutcome::Changed => self.mark_changed(),
            AnnouncementOutcome::Held | AnnouncementOutcome::Outdated => {}
        }
        self.report(FleetChange::Backend { id, notice, outcome });
    }
}

fn is_possible_departure(departure: &Departure, wall: UnixMillis) -> bool {
    departure.started_at.is_none_or(|start| Registration::is_possible_start(start, wall))
}
