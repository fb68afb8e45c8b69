//! Requests and replies of other nodes.

use rand::Rng;

use crate::control::cx::Cx;
use crate::control::membership::EXCHANGE_TIMEOUT;
use crate::control::pending_request::PendingRequest;
use crate::control::state::Control;
use crate::control::stop_origin::StopOrigin;
use crate::control::{PeerFailure, PeerMessage, RequestId, StateChange, SyncStatus};
use crate::ids::NodeId;
use crate::peers::Peer;
use crate::store::{StoreError, StoreReply};
use crate::sync::Offer;
use crate::units::Millis;

impl Control {
    pub(super) fn take_request<R: Rng>(
        &mut self,
        id: RequestId,
        message: PeerMessage,
        cx: &mut Cx<'_, R>,
    ) {
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

    pub(super) fn take_reply<R: Rng>(
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

    pub(super) fn fail_request<R: Rng>(&mut self, request: PendingRequest, cx: &mut Cx<'_, R>) {
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

    pub(super) fn admit<R: Rng>(&mut self, peer: Peer, cx: &mut Cx<'_, R>) -> PeerMessage {
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

    pub(super) fn take_welcome<R: Rng>(
        &mut self,
        peers: Vec<Peer>,
        status: &SyncStatus,
        cx: &mut Cx<'_, R>,
    ) {
        self.spread.note_former(&peers);
        self.members.take_entries(peers, Some(&status.node), cx);
        if self.members.joiner.succeed() {
            cx.report(StateChange::Joined);
        }
        self.take_status(status, cx);
    }

    pub(super) fn take_status<R: Rng>(&mut self, status: &SyncStatus, cx: &mut Cx<'_, R>) {
        self.spread.versions.note(&status.node, status.config_version);
        self.spread.floor.raise(status.config_version);
        self.members.take_status(status, self.members.table.digest(), cx);
        if status.stops_digest != self.stops.digest() {
            for (marks, origin) in self.stops.groups() {
                self.send_stops(&status.node, marks, &origin, cx);
            }
        }
    }

    pub(super) fn take_pulled<R: Rng>(
        &mut self,
        peer: &NodeId,
        reply: PeerMessage,
        cx: &mut Cx<'_, R>,
    ) {
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
}
