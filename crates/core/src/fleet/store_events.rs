//! Handles replies of the store.

use rand::Rng;

use super::fleet_control::FleetControl;
use super::pending_request::{PendingRequest, RequestPurpose};
use super::store_contact::StoreContact;
use crate::fleet::{
    ConfigProblem, FleetAction, FleetChange, ItemChange, KeySpace, Rollout, RolloutOrder,
    RolloutProgress, StoreFailure, StoreItem, StoreKey, StoreReply, StoreResponse, StoredValue,
};
use crate::store::{Revision, StoreEra, StorePosition};
use crate::units::{Instant, UnixMillis};

impl FleetControl {
    pub(super) fn handle_store_response(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        id: u64,
        response: StoreResponse,
        rng: &mut impl Rng,
    ) {
        let Some(request) = self.pending_requests.remove(&id) else { return };
        let failure = response.reply.as_ref().err().copied();
        if failure != Some(StoreFailure::Unanswered) {
            self.last_store_reply = Some(now);
            self.repeat_doubtful_watches(now);
        }
        let Some(reply) = self.reply_of_known_era(now, response) else { return };
        self.update_store_contact(now, &request.purpose, reply.as_ref().err().copied());
        match request.purpose {
            RequestPurpose::Watch(space) => {
                if matches!(reply, Err(StoreFailure::Unanswered)) {
                    self.lease.renew_early(now);
                }
                let is_ahead = is_before(&reply, request.after);
                let before = self.watcher(space).position().unwrap_or_default();
                let update = self.watcher(space).reply(now, reply, rng);
                if is_ahead {
                    self.watcher(space).mark_outdated();
                }
                if space == KeySpace::Operator && failure.is_none() {
                    let is_watch = request.watch_time.is_some();
                    let answered =
                        if is_watch { request.head.unwrap_or(now) } else { request.sent };
                    self.confirm_operator_keys(now, answered);
                }
                for change in update.changes {
                    if space == KeySpace::Operator {
                        self.record_unreadable_item(before, &change);
                    }
                    self.apply_item_change(now, wall, change);
                }
            }
            RequestPurpose::Lease => {
                if matches!(reply, Err(StoreFailure::NoLease)) {
                    self.departure_records.restart(now);
                }
                self.lease.reply(now, &reply);
                self.confirm_later_watches(now, request.sent);
            }
            RequestPurpose::DepartureLease => {
                if let Ok(StoreReply::Lease(lease)) = reply {
                    self.departure_records.lease_opened(now, request.sent, lease);
                }
            }
            RequestPurpose::Departures(departures) => match reply {
                Ok(_) => self.departure_records.written(now, &departures),
                Err(StoreFailure::NoLease) => self.departure_records.lease_lost(now),
                Err(_) => {}
            },
            RequestPurpose::Rollout(service) => self.handle_progress_reply(now, &service, reply),
        }
    }

    /// Returns the reply of `response` unless it names a later era than the known one, which it
    /// begins. One of an earlier era is turned into a failure.
    fn reply_of_known_era(
        &mut self,
        now: Instant,
        response: StoreResponse,
    ) -> Option<Result<StoreReply, StoreFailure>> {
        match (response.era, self.store_era) {
            (Some(era), Some(known)) if era > known => {
                self.enter_store_era(now, era, known);
                None
            }
            (Some(era), Some(known)) if era < known => Some(Err(StoreFailure::Outdated)),
            (Some(era), known) => {
                if known.is_none() {
                    self.operator_watcher.begin_era(era);
                    self.nodes_watcher.begin_era(era);
                }
                self.store_era = Some(era);
                Some(response.reply)
            }
            (None, _) => Some(response.reply),
        }
    }

    /// Reads the store anew, because it was restored from an earlier copy. Replies to the pending
    /// requests are ignored: they are of the earlier era, or depend on what was read in it.
    fn enter_store_era(&mut self, now: Instant, era: StoreEra, before: StoreEra) {
        self.store_era = Some(era);
        self.pending_requests.clear();
        self.operator_watcher.restart(now, era);
        self.nodes_watcher.restart(now, era);
        self.lease.restart(now);
        self.departure_records.restart(now);
        self.rollouts.values_mut().for_each(Rollout::forget_record);
        self.report(FleetChange::StoreRestored { era, before });
    }

    /// Keeps other nodes from skipping `change`, which came after `before`, if it can't be read.
    fn record_unreadable_item(&mut self, before: StorePosition, change: &ItemChange) {
        let ItemChange::Put(item) = change else { return };
        match item.value {
            StoredValue::Config(Err(_)) => self.freshness.record_refused(before),
            StoredValue::Unreadable(_) => self.freshness.record_unreadable(before),
            _ => {}
        }
    }

    /// Records the confirmation that an answer of the store at `answered` gives, if the operator's
    /// keys are listed.
    fn confirm_operator_keys(&mut self, now: Instant, answered: Instant) {
        if let Some(position) = self.operator_watcher.position() {
            self.confirm_by_store(now, answered, position);
        }
    }

    /// Updates whether the store answers, by the end of a request.
    fn update_store_contact(
        &mut self,
        now: Instant,
        purpose: &RequestPurpose,
        failure: Option<StoreFailure>,
    ) {
        match purpose {
            RequestPurpose::Watch(KeySpace::Operator) => {
                self.record_store_contact(|contact| contact.record_watch(failure));
            }
            RequestPurpose::Watch(KeySpace::Nodes) => {}
            RequestPurpose::Lease
            | RequestPurpose::DepartureLease
            | RequestPurpose::Departures(_)
            | RequestPurpose::Rollout(_) => {
                self.record_store_contact(|contact| contact.record_request(now, failure));
                if failure == Some(StoreFailure::Unanswered) {
                    self.doubt_watches();
                }
            }
        }
    }

    /// Changes whether the store answers, and reports it.
    pub(super) fn record_store_contact(&mut self, record: impl FnOnce(&mut StoreContact)) {
        let was_reached = self.store_contact.is_reached();
        let was_leader = self.is_leader();
        record(&mut self.store_contact);
        let is_reached = self.store_contact.is_reached();
        if is_reached != was_reached {
            // The next node in order leads once it hears of this.
            self.has_update |= was_leader;
            let failure = self.store_contact.failure();
            self.report(FleetChange::Store { is_reached, failure });
        }
    }

    /// Records that the answer to a request begins to arrive.
    pub(super) fn record_store_head(&mut self, now: Instant, id: u64) {
        if let Some(pending) = self.pending_requests.get_mut(&id) {
            pending.head = Some(now);
            pending.is_doubtful = false;
        }
    }

    /// Marks the pending watches, because another request had no answer while they were pending.
    fn doubt_watches(&mut self) {
        let may_be_lost =
            |pending: &&mut PendingRequest| pending.watch_time.is_some() && pending.head.is_none();
        for pending in self.pending_requests.values_mut().filter(may_be_lost) {
            pending.is_doubtful = true;
        }
    }

    /// Gives up the watches that may be lost, because the store has just answered. If this node
    /// still watches, the next ones are sent from the same revisions.
    fn repeat_doubtful_watches(&mut self, now: Instant) {
        let is_doubtful = |(_, pending): &(&u64, &PendingRequest)| pending.is_doubtful;
        let doubtful = self.pending_requests.iter().filter(is_doubtful);
        let doubtful: Vec<u64> = doubtful.map(|(id, _)| *id).collect();
        for id in doubtful {
            self.actions.push(FleetAction::CancelStore(id));
            let Some(pending) = self.pending_requests.remove(&id) else { continue };
            if let RequestPurpose::Watch(space) = pending.purpose {
                let pending_for = now.since(pending.sent);
                self.report(FleetChange::WatchRepeated { space, pending_for });
            }
        }
    }

    /// Makes the next renewal of the lease due if a watch was sent after the one that was sent at
    /// `renewed`, whose answer tells nothing of that watch.
    fn confirm_later_watches(&mut self, now: Instant, renewed: Instant) {
        let is_later =
            |pending: &PendingRequest| pending.watch_time.is_some() && pending.sent > renewed;
        if self.pending_requests.values().any(is_later) {
            self.lease.renew_now(now);
        }
    }

    fn apply_item_change(&mut self, now: Instant, wall: UnixMillis, change: ItemChange) {
        match change {
            ItemChange::Put(StoreItem { key, revision, value }) => {
                self.apply_put_item(now, wall, &key, revision, value);
            }
            ItemChange::Removed(StoreKey::Node(node), _) => {
                // Another node without an entry may still be alive; its heartbeats tell.
                if node == self.identity.entry.node {
                    self.lease.entry_removed(now);
                    self.departure_records.restart(now);
                }
            }
            ItemChange::Removed(StoreKey::Departure(server), _) => {
                self.departure_records.item_removed(now, &server);
            }
            ItemChange::Removed(StoreKey::Evacuation(data_centre), revision) => {
                self.record_store_evacuation(now, data_centre, revision, false);
            }
            ItemChange::Removed(..) => {}
        }
    }

    fn apply_put_item(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        key: &StoreKey,
        revision: Revision,
        value: StoredValue,
    ) {
        match value {
            StoredValue::Config(Ok(text)) => self.apply_config(now, text, "store"),
            StoredValue::Config(Err(problem)) => {
                self.report(FleetChange::ConfigRefused(problem.to_string()));
                if let ConfigProblem::UnknownTypes(partial) = problem {
                    self.serve_part(partial);
                }
            }
            StoredValue::Order(order) => self.record_order(now, order),
            StoredValue::Evacuation => {
                if let StoreKey::Evacuation(data_centre) = key {
                    self.record_store_evacuation(now, data_centre.clone(), revision, true);
                }
            }
            StoredValue::Progress(progress) => self.record_progress(now, wall, &progress, revision),
            StoredValue::Node(entry) => {
                if let Some(departure) = &entry.departed {
                    self.record_departure(now, wall, departure);
                }
                if entry.node != self.identity.entry.node {
                    self.peers.add_listed(now, entry);
                    // In a large fleet the links of the new node tell it of the others.
                    self.has_update |= !self.peers.has_relays();
                }
            }
            StoredValue::Departure(departure) => self.record_departure(now, wall, &departure),
            StoredValue::Unreadable(problem) => {
                self.report(FleetChange::ItemUnreadable(format!("{key:?}: {problem}")));
            }
        }
    }

    pub(super) fn record_order(&mut self, now: Instant, order: RolloutOrder) {
        let service = order.service.clone();
        let change = FleetChange::RolloutOrdered(service.clone(), order.target.clone());
        let is_new = match self.rollouts.get_mut(&service) {
            Some(rollout) => rollout.apply_order(order, now),
            None => {
                self.rollouts.insert(service, Rollout::new(order, now));
                true
            }
        };
        if is_new {
            self.report(change);
            self.mark_changed();
        }
    }

    fn record_progress(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        progress: &RolloutProgress,
        revision: Revision,
    ) {
        // The order may not have arrived yet, but the progress names all that it contains.
        if !self.rollouts.contains_key(&progress.service) {
            self.record_order(now, progress.to_order());
        }
        if let Some(rollout) = self.rollouts.get_mut(&progress.service) {
            rollout.apply_progress(progress, revision, now, wall);
            self.mark_changed();
        }
    }
}

/// Returns whether the store has not reached the revision `after`, which another writer may have
/// made up.
fn is_before(reply: &Result<StoreReply, StoreFailure>, after: Option<Revision>) -> bool {
    matches!(reply, Ok(StoreReply::Changes(_, as_of)) if after.is_some_and(|after| *as_of < after))
}
