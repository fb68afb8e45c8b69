//! Handles replies of the store.

use rand::Rng;

use super::fleet_control::{FleetControl, RequestPurpose};
use crate::fleet::{
    FleetChange, ItemChange, KeySpace, Rollout, RolloutOrder, RolloutProgress, StoreFailure,
    StoreItem, StoreKey, StoreReply, StoreResponse, StoredValue,
};
use crate::store::{Revision, StoreEra};
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
        let Some(purpose) = self.pending_requests.remove(&id) else { return };
        if !matches!(response.reply, Err(StoreFailure::Unanswered)) {
            self.last_store_reply = Some(now);
        }
        let Some(reply) = self.reply_of_known_era(now, response) else { return };
        match purpose {
            RequestPurpose::Watch(space) => {
                self.update_store_state(space, reply.as_ref().err().copied());
                if matches!(reply, Err(StoreFailure::Unanswered)) {
                    self.lease.renew_early(now);
                }
                let update = self.watcher(space).reply(now, reply, rng);
                for change in update.changes {
                    self.apply_item_change(now, wall, change);
                }
            }
            RequestPurpose::Lease => self.lease.reply(now, &reply),
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
            (Some(era), _) => {
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
        self.rollouts.values_mut().for_each(Rollout::forget_record);
        self.report(FleetChange::StoreRestored { era, before });
    }

    /// Updates whether the store answers, by the requests of the watcher of the operator's keys.
    fn update_store_state(&mut self, space: KeySpace, failure: Option<StoreFailure>) {
        let is_reached = matches!(failure, None | Some(StoreFailure::HistoryLost));
        if space == KeySpace::Operator && is_reached != self.is_store_reached {
            self.is_store_reached = is_reached;
            self.report(FleetChange::Store { is_reached, failure });
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
                }
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
            }
            StoredValue::Order(order) => self.record_order(now, order),
            StoredValue::Progress(progress) => self.record_progress(now, wall, &progress, revision),
            StoredValue::Node(entry) => {
                if let Some(departure) = &entry.departed {
                    self.record_departure(now, wall, departure);
                }
                if entry.node != self.identity.entry.node {
                    self.peers.add_listed(now, entry);
                    self.has_update = true;
                }
            }
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
