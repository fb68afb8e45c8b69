//! Control state of a node.

use std::sync::Arc;

use rand::Rng;

use crate::config::Config;
use crate::control::accounting_control::AccountingControl;
use crate::control::cx::Cx;
use crate::control::dissemination::Dissemination;
use crate::control::local_backend::LocalBackend;
use crate::control::membership::Membership;
use crate::control::outbox::Outbox;
use crate::control::rollout_control::RolloutControl;
use crate::control::stop_marks::StopMarks;
use crate::control::stop_origin::StopOrigin;
use crate::control::store_access::StoreAccess;
use crate::control::{
    Action, ControlSettings, ControlStatus, Event, PeerMessage, StateChange, SyncStatus,
};
use crate::ids::{DataCentre, NodeId};
use crate::peers::{AnnouncedBackend, Peer, PeerStatus};
use crate::sync::PeerVersion;
use crate::traffic::{Snapshot, SnapshotInput};
use crate::units::{Instant, UnixMillis};

/// Control state of a node, which handles events and returns actions.
///
/// Performs no input or output: the caller passes in time and randomness, and performs the
/// actions.
#[derive(Debug, Clone)]
pub struct Control {
    pub(super) membership: Membership,
    pub(super) dissemination: Dissemination,
    pub(super) store: StoreAccess,
    pub(super) stops: StopMarks,
    pub(super) backend: LocalBackend,
    pub(super) rollouts: RolloutControl,
    pub(super) accounting: AccountingControl,
    pub(super) is_leaving: bool,
    pub(super) outbox: Outbox,
}

impl Control {
    /// Returns the state of a node that starts at the time `wall`.
    pub fn new(settings: ControlSettings, now: Instant, wall: UnixMillis) -> Self {
        let own = settings.entry(wall);
        let accounting = AccountingControl::new(&own, wall);
        Self {
            membership: Membership::new(own, settings.seeds, now),
            dissemination: Dissemination::default(),
            store: StoreAccess::default(),
            stops: StopMarks::default(),
            backend: LocalBackend::default(),
            rollouts: RolloutControl::default(),
            accounting,
            is_leaving: false,
            outbox: Outbox::default(),
        }
    }

    /// Handles `event` and returns the resulting actions, in order.
    pub fn handle(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        event: Event,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut out = std::mem::take(&mut self.outbox);
        let mut cx = Cx { now, wall, rng, out: &mut out };
        self.membership.detect_pause(now);
        self.dispatch(event, &mut cx);
        self.complete_event(&mut cx);
        self.outbox = out;
        self.outbox.drain()
    }

    /// Returns a new snapshot of the state that traffic reads.
    pub fn snapshot(&self) -> Snapshot {
        let input = SnapshotInput {
            own: self.membership.table.own(),
            config: self.dissemination.published.as_ref(),
            stops: self.stops.marks(),
        };
        Snapshot::build(input, self.membership.table.iter())
    }

    /// Returns the entry of every known node, including this one.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.membership.table.iter()
    }

    /// Returns the configuration versions that other nodes reported.
    pub fn peer_versions(&self) -> impl Iterator<Item = (&NodeId, PeerVersion)> {
        self.dissemination.versions.iter()
    }

    /// Returns the configuration held, which may not be published to traffic yet.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.dissemination.sync.config()
    }

    /// Returns the `count` alive nodes that rank first for `key`, best first; only those in
    /// `data_centre` if one is given.
    pub fn rank(&self, key: &str, data_centre: Option<&DataCentre>, count: usize) -> Vec<&NodeId> {
        self.membership.table.rank(key, data_centre, count)
    }

    /// Returns a summary of this state for operators.
    pub fn status(&self) -> ControlStatus {
        let published = self.dissemination.published.as_ref();
        ControlStatus {
            node: self.membership.table.own().id.clone(),
            held: self.dissemination.sync.version(),
            published: published.map(|cfg| cfg.version).unwrap_or_default(),
            floor: self.dissemination.floor.floor(),
            is_floor_settled: self.dissemination.floor.is_settled(),
            is_joined: self.membership.joiner.is_joined(),
            is_self_preserving: self.membership.detector.is_self_preserving(),
            reader: self.store.reader.role(),
            is_store_lost: self.store.is_unreachable,
            is_leaving: self.is_leaving,
            submissions: self.store.writer.len(),
            pending_stops: self.stops.marks().len(),
            links: self.membership.last_links().outgoing.len(),
        }
    }

    fn dispatch<R: Rng>(&mut self, event: Event, cx: &mut Cx<'_, R>) {
        match event {
            Event::Tick => self.tick(cx),
            Event::PeerRequest { id, message } => self.handle_request(id, message, cx),
            Event::PeerReply { id, reply } => {
                if let Some(request) = cx.out.take_pending(id) {
                    self.handle_reply(request, reply, cx);
                }
            }
            Event::StoreReply { id, reply } => {
                if let Some(request) = cx.out.take_pending(id) {
                    self.handle_store_reply(request, reply, cx);
                }
            }
            Event::BackendAnnounced(backend) => {
                self.backend.announce(backend, cx.now);
                self.update_backend(cx);
            }
            Event::BackendLeaving => {
                self.backend.leave();
                self.update_backend(cx);
            }
            Event::Submit { id, submission } => self.submit(id, submission, cx),
            Event::QueryOutcome { id, write_id } => self.query_outcome(id, write_id, cx),
            Event::CallsCounted(counted) => self.record_calls(&counted, cx),
            Event::CallsEnded(ended) => {
                if let Some(config) = &self.dissemination.published {
                    self.accounting.ledger.count(&ended, &config.content);
                }
            }
            Event::CostRead(total) => self.accounting.ledger.read_cost(total),
            Event::VersionFailed { marks, reason } => {
                let origin = StopOrigin::new(self.dissemination.sync.version(), &reason, cx.now);
                self.add_stops(marks, &origin, cx);
            }
            Event::StopRequested => self.leave(cx),
        }
    }

    fn tick<R: Rng>(&mut self, cx: &mut Cx<'_, R>) {
        for request in cx.out.take_expired(cx.now) {
            self.handle_request_failure(request, cx);
        }
        self.backend.expire(cx.now);
        self.update_backend(cx);
        self.membership.join(cx);
        self.membership.tick(cx);
        self.store.update_role(&self.membership.table, self.is_leaving, cx);
        if self.membership.detector.start_ping_period(cx.now) {
            let status = self.sync_status();
            self.membership.ping(&status, cx);
            self.dissemination.push(&mut self.membership, &status, cx);
            let table = &self.membership.table;
            self.dissemination.versions.retain(|id| table.get(id).is_some());
        }
        let config = self.dissemination.sync.config();
        self.store.record_stops(&self.stops, config.map(|cfg| &**cfg), &self.membership.table, cx);
        self.drive_rollouts(cx);
        self.accounting.tick(&self.membership, cx);
        let steps = self.store.writer.poll(cx.now);
        self.handle_writer_steps(steps, cx);
    }

    /// Performs the work that any event may have made necessary.
    fn complete_event<R: Rng>(&mut self, cx: &mut Cx<'_, R>) {
        self.dissemination.discover_floor(&mut self.membership, cx);
        self.dissemination.pull(&self.membership, cx);
        self.dissemination.publish(cx);
        self.accounting.apply_config(self.dissemination.published.as_ref(), cx);
        self.store.read(cx);
        self.membership.flush(cx);
        let status = self.sync_status();
        self.dissemination.flush(&mut self.membership, &status, cx);
    }

    /// Forwards a change of the backend server beside this node to other nodes and to traffic.
    pub(super) fn update_backend<R>(&mut self, cx: &mut Cx<'_, R>) {
        let current = self.backend.current();
        let announced = self.membership.table.own().backend.as_ref();
        if current == announced {
            return;
        }
        match (announced, current) {
            (None, Some(_)) => cx.report(StateChange::BackendUp),
            (Some(_), None) => cx.report(StateChange::BackendDown),
            _ => {}
        }
        let current: Option<AnnouncedBackend> = current.cloned();
        self.membership.table.set_backend(current, cx.now);
        self.membership.propagate_own_entry();
        cx.out.publish();
    }

    pub(super) fn leave<R>(&mut self, cx: &mut Cx<'_, R>) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        self.accounting.flush();
        self.membership.table.set_leaving(cx.now);
        self.membership.propagate_own_entry();
        cx.report(StateChange::PeerStatusChanged(
            self.membership.table.own().id.clone(),
            PeerStatus::Leaving,
        ));
        cx.out.publish();
    }

    pub(super) fn ack(&self) -> PeerMessage {
        PeerMessage::Ack(self.dissemination.sync.version())
    }

    /// Returns the versions and digests of the held state, as sent in heartbeats.
    pub fn sync_status(&self) -> SyncStatus {
        let own = self.membership.table.own();
        SyncStatus {
            node: own.id.clone(),
            incarnation: own.incarnation,
            config_version: self.dissemination.sync.version(),
            config_digest: self.dissemination.sync.digest(),
            table_digest: self.membership.table.digest(),
            stops_digest: self.stops.digest(),
        }
    }
}
