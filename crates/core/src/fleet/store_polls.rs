//! Asks the store for changes if nobody seems to watch it.

use std::ops::RangeInclusive;

use rand::Rng;

use super::fleet_control::FleetControl;
use super::pending_request::{PendingRequest, RequestPurpose};
use crate::fleet::{Confirmation, FleetAction, KeySpace, StoreRole, StoreWatcher};
use crate::ids::{ConfigVersion, NodeId};
use crate::store::StorePosition;
use crate::units::{Instant, Micros, Millis};

impl FleetControl {
    /// How long the leader's watch may take beyond its waiting time before others must know.
    const WATCH_OVERDUE: Millis = Millis::new(300);
    /// The age of a confirmation from which a node asks the store itself. Covers the leader's watch,
    /// a slow store and a lost heartbeat.
    const MAX_CONFIRMATION_AGE: Millis = Millis::new(1_350);
    /// How much older a confirmation may be that nodes pass on along links.
    const CONFIRMATION_RELAY_TIME: Millis = Millis::new(1_500);
    /// The shortest delay of a poll of a node that does not lead, in which the leader's own poll may
    /// be answered and told.
    const MIN_POLL_DELAY: Micros = Micros::new(50_000);
    /// The span of the delays for each node of the fleet, so that the polls in a second don't grow
    /// with it.
    const POLL_SPAN_PER_NODE: Micros = Micros::new(2_000);
    /// The delay of a further poll while nothing confirms the knowledge.
    const POLL_RETRY_DELAY: Millis = Millis::new(1_000);

    /// Sends a poll if the knowledge of the operator's keys is stale and nobody else has shown the
    /// opposite after a random delay. A node that does not lead renews its lease first, which costs
    /// less, and polls only if the store answers.
    pub(super) fn poll_if_stale(&mut self, now: Instant, rng: &mut impl Rng) {
        let is_stale = self.freshness.is_stale(now, self.max_confirmation_age());
        if !is_stale || !self.store_contact.is_reached() {
            self.freshness.cancel_poll();
            return;
        }
        let delays = self.poll_delays();
        let Some(due) = self.freshness.poll_due_since(now, delays, rng) else { return };
        if self.is_operator_answer_arriving() {
            return;
        }
        if self.store_role != StoreRole::Leader && self.store_contact.last_success() < Some(due) {
            return self.lease.renew_now(now);
        }
        self.cancel_watch(KeySpace::Operator);
        self.operator_watcher.set_watch_time(Some(StoreWatcher::POLL_TIME));
        if let Some(request) = self.operator_watcher.request(now) {
            self.freshness.poll_sent(now, Self::POLL_RETRY_DELAY);
            self.request(now, RequestPurpose::Watch(KeySpace::Operator), request);
        }
    }

    fn max_confirmation_age(&self) -> Millis {
        let relay_time =
            if self.peers.has_relays() { Self::CONFIRMATION_RELAY_TIME } else { Millis::new(0) };
        Millis::new(Self::MAX_CONFIRMATION_AGE.get() + relay_time.get())
    }

    /// Returns the shortest and the longest delay of a poll.
    fn poll_delays(&self) -> RangeInclusive<Micros> {
        if self.store_role == StoreRole::Leader {
            return Micros::new(0)..=Micros::new(0);
        }
        let nodes = self.peers.live_count() as u64 + 1;
        let span = Self::POLL_SPAN_PER_NODE.get() * nodes;
        Self::MIN_POLL_DELAY..=Micros::new(Self::MIN_POLL_DELAY.get() + span)
    }

    pub(super) fn is_operator_answer_arriving(&self) -> bool {
        let is_arriving = |pending: &PendingRequest| {
            pending.purpose == RequestPurpose::Watch(KeySpace::Operator)
                && (pending.head.is_some() || pending.watch_time.is_none())
        };
        self.pending_requests.values().any(is_arriving)
    }

    /// Gives up the pending request of a watcher. The next one is sent from the same revision.
    pub(super) fn cancel_watch(&mut self, space: KeySpace) {
        let is_watch = |(_, pending): &(&u64, &PendingRequest)| {
            pending.purpose == RequestPurpose::Watch(space)
        };
        let id = self.pending_requests.iter().find(is_watch).map(|(id, _)| *id);
        if let Some(id) = id {
            self.pending_requests.remove(&id);
            self.actions.push(FleetAction::CancelStore(id));
        }
    }

    /// Records that the store has shown at `at` all changes up to `position`. The leader tells all
    /// other nodes at once, and so does a node that ends a doubt.
    pub(super) fn confirm_by_store(&mut self, now: Instant, at: Instant, position: StorePosition) {
        let was_stale = self.freshness.is_stale(now, self.max_confirmation_age());
        self.freshness.confirm(at, position);
        self.has_update |= was_stale;
        if self.store_role == StoreRole::Leader {
            self.next_heartbeat = now;
            self.next_remote_heartbeat = now;
        }
    }

    /// Records the confirmation of a node that has the configuration `config_version` and has told
    /// what else it knows, unless this node still lacks that configuration.
    pub(super) fn confirm_by_peer(
        &mut self,
        now: Instant,
        config_version: ConfigVersion,
        confirmation: Confirmation,
    ) {
        let Confirmation { position, age } = confirmation;
        let is_behind = config_version > self.config_version();
        if is_behind || self.store_era != Some(position.era) {
            return;
        }
        let at = Instant::new(now.get().saturating_sub(Micros::from(age).get()));
        self.freshness.confirm(at, position);
        self.operator_watcher.skip_to(position);
    }

    /// Lets the other nodes know if the leader's watch of this node has no answer in time, and asks
    /// for an answer that shows whether the store is reached.
    pub(super) fn check_overdue_watch(&mut self, now: Instant) {
        let is_overdue = |pending: &&mut PendingRequest| {
            let limit = pending.watch_time.map(|time| time.get() + Self::WATCH_OVERDUE.get());
            pending.purpose == RequestPurpose::Watch(KeySpace::Operator)
                && pending.watch_time <= Some(StoreWatcher::LEADER_WATCH_TIME)
                && limit.is_some_and(|limit| now.since(pending.sent) > Millis::new(limit).into())
                && pending.head.is_none()
                && !pending.is_doubtful
        };
        let Some(pending) = self.pending_requests.values_mut().find(is_overdue) else { return };
        pending.is_doubtful = true;
        self.lease.renew_now(now);
        self.record_store_contact(|contact| contact.record_overdue());
    }

    /// Returns the other node that leads the watchers; `None` if this one does or if it does not
    /// reach the store.
    pub(super) fn leading_peer(&self) -> Option<NodeId> {
        let first = self.peers.ranked_before(&self.own_rank()).next();
        first.filter(|rank| rank.is_store_reached()).map(|rank| rank.node().clone())
    }
}
