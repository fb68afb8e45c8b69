//! Handles replies of the store.

use rand::Rng;

use super::fleet_control::{FleetControl, RequestPurpose};
use crate::fleet::{
    FleetChange, ItemChange, KeySpace, RolloutOrder, RolloutProgress, StoreFailure, StoreItem,
    StoreKey, StoreReply, StoredValue,
};
use crate::store::Revision;
use crate::units::{Instant, UnixMillis};

impl FleetControl {
    pub(super) fn handle_store_reply(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        id: u64,
        reply: Result<StoreReply, StoreFailure>,
        rng: &mut impl Rng,
    ) {
        let Some(purpose) = self.pending_requests.remove(&id) else { return };
        if !matches!(reply, Err(StoreFailure::Unanswered)) {
            self.last_store_reply = Some(now);
        }
        match purpose {
            RequestPurpose::Watch(space) => {
                self.update_store_state(space, reply.as_ref().err().copied());
                let update = self.watcher(space).reply(now, reply, rng);
                for change in update.changes {
                    self.apply_item_change(now, wall, change);
                }
            }
            RequestPurpose::Lease => self.lease.reply(now, &reply),
            RequestPurpose::Rollout(service) => self.handle_progress_reply(now, &service, reply),
        }
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
        match self.rollouts.get_mut(&service) {
            Some(known) if known.order.revision >= order.revision => return,
            Some(known) => known.replace(order, now),
            None => {
                self.rollouts.insert(service, crate::fleet::Rollout::new(order, now));
            }
        }
        self.report(change);
        self.mark_changed();
    }

    fn record_progress(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        progress: &RolloutProgress,
        revision: Revision,
    ) {
        // The order may not have arrived yet, but the progress names all that it contains.
        let order = RolloutOrder {
            service: progress.service.clone(),
            target: progress.target.clone(),
            duration: progress.duration,
            revision: progress.order,
        };
        if !self.rollouts.contains_key(&progress.service) {
            self.record_order(now, order);
        }
        if let Some(rollout) = self.rollouts.get_mut(&progress.service) {
            rollout.apply_progress(progress, revision, now, wall);
            self.mark_changed();
        }
    }
}
