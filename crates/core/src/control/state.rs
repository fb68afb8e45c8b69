//! The control state of a node.

use std::sync::Arc;

use rand::Rng;

use crate::config::{Change, Config, StopMark};
use crate::control::accounting_control::AccountingControl;
use crate::control::cx::Cx;
use crate::control::dissemination::Dissemination;
use crate::control::local_backend::LocalBackend;
use crate::control::membership::{EXCHANGE_TIMEOUT, Membership};
use crate::control::outbox::Outbox;
use crate::control::pending_request::PendingRequest;
use crate::control::rollout_control::{RolloutControl, is_active};
use crate::control::stop_marks::StopMarks;
use crate::control::stop_origin::StopOrigin;
use crate::control::store_access::StoreAccess;
use crate::control::{
    Action, ControlSettings, ControlStatus, Event, PeerFailure, PeerMessage, RequestId,
    StateChange, SyncStatus,
};
use crate::ids::{ConfigVersion, DataCentre, NodeId, ServiceName, WriteId};
use crate::peers::{AnnouncedBackend, Peer, PeerStatus};
use crate::rollout::{CountedCalls, DriverDecision};
use crate::store::scope::check_member;
use crate::store::{JobId, Outcome, RefusedChange, StoreError, StoreReply, Submission, WriterStep};
use crate::sync::{Offer, PeerVersion};
use crate::traffic::{Snapshot, SnapshotInput};
use crate::units::{Instant, Millis, UnixMillis};

/// The control state of a node: takes events and returns actions.
#[derive(Debug, Clone)]
pub struct Control {
    members: Membership,
    spread: Dissemination,
    store: StoreAccess,
    stops: StopMarks,
    backend: LocalBackend,
    rollouts: RolloutControl,
    accounting: AccountingControl,
    is_leaving: bool,
    outbox: Outbox,
}

impl Control {
    /// The state of a node that starts at the time `wall`.
    pub fn new(settings: ControlSettings, now: Instant, wall: UnixMillis) -> Self {
        let own = settings.entry(wall);
        let accounting = AccountingControl::new(&own, wall);
        Self {
            members: Membership::new(own, settings.seeds, now),
            spread: Dissemination::default(),
            store: StoreAccess::default(),
            stops: StopMarks::default(),
            backend: LocalBackend::default(),
            rollouts: RolloutControl::default(),
            accounting,
            is_leaving: false,
            outbox: Outbox::default(),
        }
    }

    /// Takes `event` and returns the actions that follow from it, in order.
    pub fn handle(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        event: Event,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut out = std::mem::take(&mut self.outbox);
        let mut cx = Cx { now, wall, rng, out: &mut out };
        self.members.note_event(now);
        self.dispatch(event, &mut cx);
        self.finish(&mut cx);
        self.outbox = out;
        self.outbox.drain()
    }

    /// The state that traffic is to read.
    pub fn snapshot(&self) -> Snapshot {
        let input = SnapshotInput {
            own: self.members.table.own(),
            config: self.spread.published.as_ref(),
            stops: self.stops.marks(),
        };
        Snapshot::build(input, self.members.table.iter())
    }

    /// Every node known, this one included.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.members.table.iter()
    }

    /// The configuration versions that other nodes reported.
    pub fn peer_versions(&self) -> impl Iterator<Item = (&NodeId, PeerVersion)> {
        self.spread.versions.iter()
    }

    /// The configuration held, which traffic may not use yet.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.spread.sync.config()
    }

    /// The alive nodes that rank first for `key`, in `data_centre` if one is given.
    pub fn rank(&self, key: &str, data_centre: Option<&DataCentre>, count: usize) -> Vec<&NodeId> {
        self.members.table.rank(key, data_centre, count)
    }

    /// What operators see of this state.
    pub fn status(&self) -> ControlStatus {
        let published = self.spread.published.as_ref();
        ControlStatus {
            node: self.members.table.own().id.clone(),
            held: self.spread.sync.version(),
            published: published.map(|cfg| cfg.version).unwrap_or_default(),
            floor: self.spread.floor.floor(),
            is_floor_settled: self.spread.floor.is_settled(),
            is_joined: self.members.joiner.is_joined(),
            doubts_itself: self.members.detector.doubts_itself(),
            reader: self.store.reader.role(),
            is_store_lost: self.store.is_lost,
            is_leaving: self.is_leaving,
            submissions: self.store.writer.len(),
            pending_stops: self.stops.marks().len(),
            links: self.members.last_links().outgoing.len(),
        }
    }

    fn dispatch<R: Rng>(&mut self, event: Event, cx: &mut Cx<'_, R>) {
        match event {
            Event::Tick => self.tick(cx),
            Event::PeerRequest { id, message } => self.take_request(id, message, cx),
            Event::PeerReply { id, reply } => {
                if let Some(request) = cx.out.take(id) {
                    self.take_reply(request, reply, cx);
                }
            }
            Event::StoreReply { id, reply } => {
                if let Some(request) = cx.out.take(id) {
                    self.take_store_reply(request, reply, cx);
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
            Event::AskOutcome { id, write_id } => self.ask_outcome(id, write_id, cx),
            Event::CallsCounted(counted) => self.count_calls(&counted, cx),
            Event::CallsEnded(ended) => {
                if let Some(config) = &self.spread.published {
                    self.accounting.ledger.count(&ended, &config.content);
                }
            }
            Event::CostRead(total) => self.accounting.ledger.read_cost(total),
            Event::VersionFailed { marks, reason } => {
                let origin = StopOrigin::new(self.spread.sync.version(), &reason, cx.now);
                self.add_stops(marks, &origin, cx);
            }
            Event::StopRequested => self.leave(cx),
        }
    }

    fn tick<R: Rng>(&mut self, cx: &mut Cx<'_, R>) {
        for request in cx.out.overdue(cx.now) {
            self.fail_request(request, cx);
        }
        self.backend.expire(cx.now);
        self.update_backend(cx);
        self.members.join(cx);
        self.members.pass_time(cx);
        self.store.update_role(&self.members.table, self.is_leaving, cx);
        if self.members.detector.begins_period(cx.now) {
            let status = self.sync_status();
            self.members.ping(&status, cx);
            self.spread.push(&mut self.members, &status, cx);
            let table = &self.members.table;
            self.spread.versions.retain(|id| table.get(id).is_some());
        }
        let config = self.spread.sync.config();
        self.store.record_stops(&self.stops, config.map(|cfg| &**cfg), &self.members.table, cx);
        self.drive_rollouts(cx);
        self.accounting.pass_time(&self.members, cx);
        let steps = self.store.writer.poll(cx.now);
        self.take_writer_steps(steps, cx);
    }

    /// Does what every event may have made possible.
    fn finish<R: Rng>(&mut self, cx: &mut Cx<'_, R>) {
        self.spread.learn_floor(&mut self.members, cx);
        self.spread.pull(&self.members, cx);
        self.spread.publish(cx);
        self.accounting.note_config(self.spread.published.as_ref(), cx);
        self.store.read(cx);
        self.members.flush(cx);
        let status = self.sync_status();
        self.spread.flush(&mut self.members, &status, cx);
    }

    fn take_request<R: Rng>(&mut self, id: RequestId, message: PeerMessage, cx: &mut Cx<'_, R>) {
        let reply = match message {
            PeerMessage::Join(peer) => self.admit(peer, cx),
            PeerMessage::Ping(status) => {
                self.take_status(&status, cx);
                PeerMessage::Pong(self.sync_status())
            }
            PeerMessage::PingFor(target) => {
                let status = self.sync_status();
                return self.members.relay_ping(target, id, status, cx);
            }
            PeerMessage::PeerUpdates(peers) => {
                let overriding = self.members.take_updates(peers, cx);
                if overriding.is_empty() {
                    self.ack()
                } else {
                    PeerMessage::TableEntries(overriding)
                }
            }
            PeerMessage::TableBuckets(theirs) => {
                PeerMessage::TableEntries(self.members.table.differing(&theirs))
            }
            PeerMessage::ConfigPush(delta) => {
                self.spread.offer_delta(&delta, cx);
                self.settle_stops(cx);
                self.ack()
            }
            PeerMessage::ConfigPull(theirs) => {
                let reply = self.spread.sync.serve(theirs, cx.now);
                if matches!(reply, PeerMessage::Busy(_)) {
                    cx.report(StateChange::SnapshotRefused);
                }
                reply
            }
            PeerMessage::StopMarks { marks, since, reason } => {
                self.add_stops(marks, &StopOrigin::new(since, &reason, cx.now), cx);
                self.ack()
            }
            PeerMessage::Evidence(report) => {
                if let Some(config) = self.spread.sync.config() {
                    self.rollouts.take_evidence(&report, &config.content, cx.wall);
                }
                self.ack()
            }
            PeerMessage::Accounting(record) => {
                self.accounting.take(&record, &self.members.table, cx);
                self.ack()
            }
            // A reply that comes as a request changes nothing.
            PeerMessage::Welcome { .. }
            | PeerMessage::Pong(_)
            | PeerMessage::NoAnswer(_)
            | PeerMessage::TableEntries(_)
            | PeerMessage::ConfigDelta(_)
            | PeerMessage::ConfigSnapshot(_)
            | PeerMessage::Busy(_)
            | PeerMessage::Ack(_) => self.ack(),
        };
        cx.out.reply(id, reply);
    }

    fn take_reply<R: Rng>(
        &mut self,
        request: PendingRequest,
        reply: Result<PeerMessage, PeerFailure>,
        cx: &mut Cx<'_, R>,
    ) {
        match (request, reply) {
            (
                PendingRequest::JoinSeed | PendingRequest::JoinPeer,
                Ok(PeerMessage::Welcome { peers, floor, is_settled, status }),
            ) => {
                let version = floor.max(status.config_version);
                self.spread.floor.answer(&status.node, version, is_settled);
                self.take_welcome(peers, &status, cx);
            }
            (PendingRequest::Ping { target, began }, Ok(PeerMessage::Pong(status))) => {
                self.members.take_pong(&target, began, cx);
                self.take_status(&status, cx);
            }
            (PendingRequest::Probe { to }, Ok(PeerMessage::Pong(status))) => {
                if self.members.table.get(&status.node).is_none() {
                    self.members.join_peer(to, EXCHANGE_TIMEOUT, cx);
                }
                self.take_status(&status, cx);
            }
            (PendingRequest::IndirectPing { target }, Ok(PeerMessage::Pong(status))) => {
                self.members.take_indirect(target, true, cx);
                self.take_status(&status, cx);
            }
            (PendingRequest::RelayedPing { asked, .. }, Ok(PeerMessage::Pong(status))) => {
                cx.out.reply(asked, PeerMessage::Pong(status));
            }
            (
                PendingRequest::Buckets { peer } | PendingRequest::Updates { peer },
                Ok(PeerMessage::TableEntries(entries)),
            ) => self.members.take_entries(entries, Some(&peer), cx),
            (
                PendingRequest::Updates { peer } | PendingRequest::Stops { peer },
                Ok(PeerMessage::Ack(version)),
            ) => self.spread.versions.note(&peer, version),
            (PendingRequest::Push { peer, version }, Ok(PeerMessage::Ack(held))) => {
                let status = self.sync_status();
                self.spread.take_ack(&peer, version, held, (&self.members, &status), cx);
            }
            (PendingRequest::Evidence, Ok(PeerMessage::Ack(_))) => {}
            (PendingRequest::Pull { peer }, Ok(reply)) => self.take_pulled(&peer, reply, cx),
            (request, _) => self.fail_request(request, cx),
        }
    }

    fn fail_request<R: Rng>(&mut self, request: PendingRequest, cx: &mut Cx<'_, R>) {
        match request {
            PendingRequest::JoinSeed => self.members.joiner.fail(cx.now, cx.rng),
            PendingRequest::Ping { target, began } => self.members.ping_failed(target, began, cx),
            PendingRequest::IndirectPing { target } => {
                self.members.take_indirect(target, false, cx);
            }
            PendingRequest::RelayedPing { target, asked } => {
                cx.out.reply(asked, PeerMessage::NoAnswer(target));
            }
            PendingRequest::Pull { .. } => self.spread.fail_pull(Millis::new(0), cx),
            PendingRequest::Evidence => self.rollouts.report_failed(),
            PendingRequest::StoreRead
            | PendingRequest::StoreHour
            | PendingRequest::StoreWrite(_) => {
                let lost = StoreReply::Failed(StoreError::Unknown);
                self.take_store_reply(request, lost, cx);
            }
            PendingRequest::JoinPeer
            | PendingRequest::Probe { .. }
            | PendingRequest::Buckets { .. }
            | PendingRequest::Updates { .. }
            | PendingRequest::Push { .. }
            | PendingRequest::Accounting
            | PendingRequest::Stops { .. } => {}
        }
    }

    fn admit<R: Rng>(&mut self, peer: Peer, cx: &mut Cx<'_, R>) -> PeerMessage {
        let floor = self.spread.versions.get(&peer.id).highest;
        self.spread.versions.note_join(&peer.id);
        let peers = self.members.admit(peer, cx);
        PeerMessage::Welcome {
            peers,
            floor,
            is_settled: self.spread.floor.is_settled(),
            status: self.sync_status(),
        }
    }

    fn take_welcome<R: Rng>(&mut self, peers: Vec<Peer>, status: &SyncStatus, cx: &mut Cx<'_, R>) {
        self.spread.note_former(&peers);
        self.members.take_entries(peers, Some(&status.node), cx);
        if self.members.joiner.succeed() {
            cx.report(StateChange::Joined);
        }
        self.take_status(status, cx);
    }

    fn take_status<R: Rng>(&mut self, status: &SyncStatus, cx: &mut Cx<'_, R>) {
        self.spread.versions.note(&status.node, status.config_version);
        self.spread.floor.raise(status.config_version);
        self.members.take_status(status, self.members.table.digest(), cx);
        if status.stops_digest != self.stops.digest() {
            for (marks, origin) in self.stops.groups() {
                self.send_stops(&status.node, marks, &origin, cx);
            }
        }
    }

    fn take_pulled<R: Rng>(&mut self, peer: &NodeId, reply: PeerMessage, cx: &mut Cx<'_, R>) {
        match reply {
            PeerMessage::ConfigDelta(delta) => {
                let offer = self.spread.offer_delta(&delta, cx);
                self.spread.end_pull(offer, cx);
            }
            PeerMessage::ConfigSnapshot(config) => {
                let offer = self.spread.offer(config, cx);
                self.spread.end_pull(offer, cx);
            }
            PeerMessage::Busy(wait) => self.spread.fail_pull(wait, cx),
            PeerMessage::Ack(version) => {
                self.spread.versions.note(peer, version);
                self.spread.end_pull(Offer::Older, cx);
            }
            _ => self.spread.fail_pull(Millis::new(0), cx),
        }
        self.settle_stops(cx);
    }

    fn take_store_reply<R: Rng>(
        &mut self,
        request: PendingRequest,
        reply: StoreReply,
        cx: &mut Cx<'_, R>,
    ) {
        let held = self.spread.sync.version();
        match request {
            PendingRequest::StoreRead => {
                let result = self.store.reader.reply(reply, held, cx.now, cx.rng);
                if let Some(config) = self.store.note_read(result, cx) {
                    self.spread.offer(config, cx);
                    self.settle_stops(cx);
                }
            }
            PendingRequest::StoreHour => self.accounting.take_store_reply(reply, cx),
            PendingRequest::StoreWrite(job) => {
                let times = (cx.now, cx.wall);
                let steps = self.store.writer.reply(job, reply, held, times, cx.rng);
                self.take_writer_steps(steps, cx);
            }
            _ => {}
        }
    }

    fn take_writer_steps<R: Rng>(&mut self, steps: Vec<WriterStep>, cx: &mut Cx<'_, R>) {
        for config in self.store.take_steps(steps, cx) {
            // The writer may have read an older value than a peer has sent since.
            if config.version > self.spread.sync.version() {
                self.spread.offer(config, cx);
            }
        }
        self.settle_stops(cx);
    }

    fn submit<R: Rng>(&mut self, id: RequestId, submission: Submission, cx: &mut Cx<'_, R>) {
        if self.is_leaving {
            let outcome = Outcome::Refused(RefusedChange::Stopping);
            cx.out.push(Action::Submitted { id, outcome });
            return;
        }
        let is_stopped = self.stop_at_once(&submission, cx);
        if self.store.submit(id, submission, is_stopped, cx.now) {
            let steps = self.store.writer.poll(cx.now);
            self.take_writer_steps(steps, cx);
        } else {
            let outcome = Outcome::Refused(RefusedChange::Busy);
            cx.out.push(Action::Submitted { id, outcome });
        }
    }

    /// Sets the marks of a submitted stop before the store has it, so that a stop
    /// also works without the store. Returns whether there were any.
    fn stop_at_once<R>(&mut self, submission: &Submission, cx: &mut Cx<'_, R>) -> bool {
        let Some(config) = self.spread.sync.config().cloned() else { return false };
        let change = &submission.change;
        let marks = change.stops(&config.content);
        let is_allowed = !submission.dry_run
            && check_member(submission, &config.content).is_ok()
            && change.apply(&config.content, cx.wall).is_ok();
        if marks.is_empty() || !is_allowed {
            return false;
        }
        let origin = StopOrigin::new(config.version, &change.to_string(), cx.now);
        self.add_stops(marks, &origin, cx);
        true
    }

    fn ask_outcome<R: Rng>(&mut self, id: RequestId, write_id: WriteId, cx: &mut Cx<'_, R>) {
        if self.store.writer.ask(JobId::Submitter(id), write_id, cx.now) {
            let steps = self.store.writer.poll(cx.now);
            self.take_writer_steps(steps, cx);
        } else {
            let outcome = Outcome::Refused(RefusedChange::Busy);
            cx.out.push(Action::Submitted { id, outcome });
        }
    }

    /// Takes the calls that this node counted, and stops a version that it saw fail.
    fn count_calls<R>(&mut self, counted: &[CountedCalls], cx: &mut Cx<'_, R>) {
        let Some(config) = self.spread.sync.config().cloned() else { return };
        self.accounting.ledger.count_door(counted, &config.content, cx.wall);
        let table = &self.members.table;
        let (own, nodes) = (table.own(), table.live().count());
        let stops = self.rollouts.count(counted, &config.content, own, nodes, cx.wall);
        for stop in stops {
            let origin = StopOrigin::new(config.version, &stop.reason, cx.now);
            self.add_stops(vec![stop.mark], &origin, cx);
        }
    }

    /// Reports evidence to the drivers of rollouts and drives those that fall to this node.
    fn drive_rollouts<R: Rng>(&mut self, cx: &mut Cx<'_, R>) {
        if self.is_leaving || !self.rollouts.begins_look(cx.now) {
            return;
        }
        let Some(config) = self.spread.published.clone() else { return };
        self.rollouts.forget(&config.content, cx.wall);
        for (service, rollout) in &config.content.rollouts {
            if is_active(rollout, cx.wall) {
                self.drive_rollout(service, &config, cx);
            }
        }
    }

    fn drive_rollout<R: Rng>(
        &mut self,
        service: &ServiceName,
        config: &Config,
        cx: &mut Cx<'_, R>,
    ) {
        let ranked = self.members.table.rank(&format!("rollout/{service}"), None, 1);
        let driver = ranked.first().and_then(|id| self.members.table.get(id)).cloned();
        let Some(driver) = driver else { return };
        let is_own = driver.id == self.members.table.own().id;
        if let Some(report) = self.rollouts.due_report(service, &driver, cx.wall) {
            if is_own {
                self.rollouts.take_evidence(&report, &config.content, cx.wall);
            } else if let Some(to) = self.members.addr(&driver.id) {
                let message = PeerMessage::Evidence(report);
                cx.send(to, message, EXCHANGE_TIMEOUT, PendingRequest::Evidence);
            }
        }
        if is_own {
            let decision = self.rollouts.decide(service, &config.content, cx.now, cx.wall);
            self.carry_out(decision, config.version, cx);
        }
    }

    fn carry_out<R: Rng>(
        &mut self,
        decision: DriverDecision,
        decided_on: ConfigVersion,
        cx: &mut Cx<'_, R>,
    ) {
        for change in decision.changes {
            match change {
                // Peers hear of a stop at once; the record in the store follows.
                Change::AddStops { marks, reason } => {
                    self.add_stops(marks, &StopOrigin::new(decided_on, &reason, cx.now), cx);
                }
                step => {
                    self.store.submit_step(step, cx);
                }
            }
        }
        for notice in decision.notices {
            cx.report(StateChange::RolloutNotice(notice));
        }
    }

    fn add_stops<R>(&mut self, marks: Vec<StopMark>, origin: &StopOrigin, cx: &mut Cx<'_, R>) {
        let config = self.spread.sync.config().map(|cfg| &**cfg);
        let new = self.stops.add(marks, origin, config);
        if new.is_empty() {
            return;
        }
        cx.out.publish();
        for link in self.members.links().outgoing.clone() {
            self.send_stops(&link, new.clone(), origin, cx);
        }
    }

    fn send_stops<R>(
        &self,
        to: &NodeId,
        marks: Vec<StopMark>,
        origin: &StopOrigin,
        cx: &mut Cx<'_, R>,
    ) {
        if let Some(addr) = self.members.addr(to) {
            let (since, reason) = (origin.since, origin.reason.clone());
            let message = PeerMessage::StopMarks { marks, since, reason };
            cx.send(addr, message, EXCHANGE_TIMEOUT, PendingRequest::Stops { peer: to.clone() });
        }
    }

    /// Drops the stop marks that the configuration in force has taken over or cleared.
    fn settle_stops<R>(&mut self, cx: &mut Cx<'_, R>) {
        if let Some(config) = self.spread.sync.config()
            && self.stops.settle(config)
        {
            cx.out.publish();
        }
    }

    /// Announces a change of the backend server beside this node.
    fn update_backend<R>(&mut self, cx: &mut Cx<'_, R>) {
        let current = self.backend.current();
        let announced = self.members.table.own().backend.as_ref();
        if current == announced {
            return;
        }
        match (announced, current) {
            (None, Some(_)) => cx.report(StateChange::BackendUp),
            (Some(_), None) => cx.report(StateChange::BackendDown),
            _ => {}
        }
        let current: Option<AnnouncedBackend> = current.cloned();
        self.members.table.set_backend(current, cx.now);
        self.members.pass_on_own();
        cx.out.publish();
    }

    fn leave<R>(&mut self, cx: &mut Cx<'_, R>) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        self.accounting.leave();
        self.members.table.set_leaving(cx.now);
        self.members.pass_on_own();
        cx.report(StateChange::PeerStatusChanged(
            self.members.table.own().id.clone(),
            PeerStatus::Leaving,
        ));
        cx.out.publish();
    }

    fn ack(&self) -> PeerMessage {
        PeerMessage::Ack(self.spread.sync.version())
    }

    /// What this node holds, as it tells other nodes.
    pub fn sync_status(&self) -> SyncStatus {
        let own = self.members.table.own();
        SyncStatus {
            node: own.id.clone(),
            incarnation: own.incarnation,
            config_version: self.spread.sync.version(),
            config_digest: self.spread.sync.digest(),
            table_digest: self.members.table.digest(),
            stops_digest: self.stops.digest(),
        }
    }
}
