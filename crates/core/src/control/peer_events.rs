//! Handling of requests and replies of other nodes.

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
    pub(super) fn handle_request<R: Rng>(
        &mut self,
        id: RequestId,
        message: PeerMessage,
        cx: &mut Cx<'_, R>,
    ) {
        let reply = match message {
            PeerMessage::Join(peer) => self.admit(peer, cx),
            PeerMessage::Ping(status) => {
                self.handle_status(&status, cx);
                PeerMessage::Pong(self.sync_status())
            }
            PeerMessage::PingFor(target) => {
                let status = self.sync_status();
                return self.membership.relay_ping(target, id, status, cx);
            }
            PeerMessage::PeerUpdates(peers) => {
                let overriding = self.membership.merge_updates(peers, cx);
                if overriding.is_empty() {
                    self.ack()
                } else {
                    PeerMessage::TableEntries(overriding)
                }
            }
            PeerMessage::TableBuckets(theirs) => {
                PeerMessage::TableEntries(self.membership.table.differing(&theirs))
            }
            PeerMessage::ConfigPush(delta) => {
                self.dissemination.offer_delta(&delta, cx);
                self.remove_resolved_stops(cx);
                self.ack()
            }
            PeerMessage::ConfigPull(theirs) => {
                let reply = self.dissemination.sync.answer_pull(theirs, cx.now);
                if matches!(reply, PeerMessage::Busy(_)) {
                    cx.report(StateChange::SnapshotRefused);
                }
                reply
            }
            PeerMessage::StopMarks { marks, config_version, reason } => {
                self.add_stops(marks, &StopOrigin::new(config_version, &reason, cx.now), cx);
                self.ack()
            }
            PeerMessage::Evidence(report) => {
                if let Some(config) = self.dissemination.sync.config() {
                    self.rollouts.take_evidence(&report, &config.content, cx.wall);
                }
                self.ack()
            }
            PeerMessage::Accounting(record) => {
                self.accounting.collect(&record, &self.membership.table, cx);
                self.ack()
            }
            // A reply that arrives as a request is ignored.
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

    pub(super) fn handle_reply<R: Rng>(
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
                self.dissemination.floor.answer(&status.node, version, is_settled);
                self.handle_welcome(peers, &status, cx);
            }
            (PendingRequest::Ping { target, sent }, Ok(PeerMessage::Pong(status))) => {
                self.membership.handle_pong(&target, sent, cx);
                self.handle_status(&status, cx);
            }
            (PendingRequest::Probe { to }, Ok(PeerMessage::Pong(status))) => {
                if self.membership.table.get(&status.node).is_none() {
                    self.membership.join_peer(to, EXCHANGE_TIMEOUT, cx);
                }
                self.handle_status(&status, cx);
            }
            (PendingRequest::IndirectPing { target }, Ok(PeerMessage::Pong(status))) => {
                self.membership.handle_indirect_ping(target, true, cx);
                self.handle_status(&status, cx);
            }
            (PendingRequest::RelayedPing { relay_request, .. }, Ok(PeerMessage::Pong(status))) => {
                cx.out.reply(relay_request, PeerMessage::Pong(status));
            }
            (
                PendingRequest::CompareTables { peer } | PendingRequest::Updates { peer },
                Ok(PeerMessage::TableEntries(entries)),
            ) => self.membership.merge_entries(entries, Some(&peer), cx),
            (
                PendingRequest::Updates { peer } | PendingRequest::StopMarks { peer },
                Ok(PeerMessage::Ack(version)),
            ) => self.dissemination.versions.record(&peer, version),
            (PendingRequest::Push { peer, version }, Ok(PeerMessage::Ack(held))) => {
                let status = self.sync_status();
                self.dissemination.handle_push_ack(
                    &peer,
                    version,
                    held,
                    (&self.membership, &status),
                    cx,
                );
            }
            (PendingRequest::Evidence, Ok(PeerMessage::Ack(_))) => {}
            (PendingRequest::Pull { peer }, Ok(reply)) => self.handle_pull_reply(&peer, reply, cx),
            (request, _) => self.handle_request_failure(request, cx),
        }
    }

    pub(super) fn handle_request_failure<R: Rng>(
        &mut self,
        request: PendingRequest,
        cx: &mut Cx<'_, R>,
    ) {
        match request {
            PendingRequest::JoinSeed => self.membership.joiner.record_failure(cx.now, cx.rng),
            PendingRequest::Ping { target, sent } => {
                self.membership.handle_ping_failure(target, sent, cx)
            }
            PendingRequest::IndirectPing { target } => {
                self.membership.handle_indirect_ping(target, false, cx);
            }
            PendingRequest::RelayedPing { target, relay_request } => {
                cx.out.reply(relay_request, PeerMessage::NoAnswer(target));
            }
            PendingRequest::Pull { .. } => self.dissemination.fail_pull(Millis::new(0), cx),
            PendingRequest::Evidence => self.rollouts.handle_report_failure(),
            PendingRequest::StoreRead
            | PendingRequest::StoreHour
            | PendingRequest::StoreWrite(_) => {
                let lost = StoreReply::Failed(StoreError::Unknown);
                self.handle_store_reply(request, lost, cx);
            }
            PendingRequest::JoinPeer
            | PendingRequest::Probe { .. }
            | PendingRequest::CompareTables { .. }
            | PendingRequest::Updates { .. }
            | PendingRequest::Push { .. }
            | PendingRequest::Accounting
            | PendingRequest::StopMarks { .. } => {}
        }
    }

    pub(super) fn admit<R: Rng>(&mut self, peer: Peer, cx: &mut Cx<'_, R>) -> PeerMessage {
        let floor = self.dissemination.versions.get(&peer.id).highest;
        self.dissemination.versions.record_join(&peer.id);
        let peers = self.membership.admit(peer, cx);
        PeerMessage::Welcome {
            peers,
            floor,
            is_settled: self.dissemination.floor.is_settled(),
            status: self.sync_status(),
        }
    }

    pub(super) fn handle_welcome<R: Rng>(
        &mut self,
        peers: Vec<Peer>,
        status: &SyncStatus,
        cx: &mut Cx<'_, R>,
    ) {
        self.dissemination.record_former_links(&peers);
        self.membership.merge_entries(peers, Some(&status.node), cx);
        if self.membership.joiner.record_answer() {
            cx.report(StateChange::Joined);
        }
        self.handle_status(status, cx);
    }

    pub(super) fn handle_status<R: Rng>(&mut self, status: &SyncStatus, cx: &mut Cx<'_, R>) {
        self.dissemination.versions.record(&status.node, status.config_version);
        self.dissemination.floor.raise(status.config_version);
        self.membership.handle_status(status, self.membership.table.digest(), cx);
        if status.stops_digest != self.stops.digest() {
            for (marks, origin) in self.stops.groups() {
                self.send_stops(&status.node, marks, &origin, cx);
            }
        }
    }

    pub(super) fn handle_pull_reply<R: Rng>(
        &mut self,
        peer: &NodeId,
        reply: PeerMessage,
        cx: &mut Cx<'_, R>,
    ) {
        match reply {
            PeerMessage::ConfigDelta(delta) => {
                let offer = self.dissemination.offer_delta(&delta, cx);
                self.dissemination.handle_pull_result(offer, cx);
            }
            PeerMessage::ConfigSnapshot(config) => {
                let offer = self.dissemination.offer(config, cx);
                self.dissemination.handle_pull_result(offer, cx);
            }
            PeerMessage::Busy(wait) => self.dissemination.fail_pull(wait, cx),
            PeerMessage::Ack(version) => {
                self.dissemination.versions.record(peer, version);
                self.dissemination.handle_pull_result(Offer::Older, cx);
            }
            _ => self.dissemination.fail_pull(Millis::new(0), cx),
        }
        self.remove_resolved_stops(cx);
    }
}
