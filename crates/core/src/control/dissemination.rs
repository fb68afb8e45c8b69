//! Dissemination of configurations to this node, its traffic and other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;

use crate::config::{Config, Delta};
use crate::control::cx::Cx;
use crate::control::membership::{EXCHANGE_TIMEOUT, Membership};
use crate::control::pending_request::PendingRequest;
use crate::control::{PeerMessage, StateChange, SyncStatus};
use crate::ids::{ConfigVersion, NodeId};
use crate::peers::{PING_TIMEOUT, Peer, PeerStatus};
use crate::sync::{ConfigSync, FloorGate, Offer, PeerVersions, Puller};
use crate::units::Millis;

/// Number of times that a link is asked for the version floor. A link that never answers
/// delays the start by 2 s.
const MAX_FLOOR_REQUESTS: u8 = 8;
/// Number of times that a link that others declared dead is asked for the version floor.
/// It delays the start by at most 0.5 s.
const MAX_FLOOR_REQUESTS_TO_DEAD: u8 = 2;

/// State of the dissemination of configurations to this node, its traffic and other nodes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Dissemination {
    pub(crate) sync: ConfigSync,
    pub(crate) versions: PeerVersions,
    pub(crate) floor: FloorGate,
    /// Configuration that traffic uses. Its version never goes down.
    pub(crate) published: Option<Arc<Config>>,
    /// Dead nodes that may have been links of this node before its restart, with their
    /// addresses.
    former_links: BTreeMap<NodeId, SocketAddr>,
    puller: Puller,
    /// Whether the last delta was invalid, so that the next pull asks for a snapshot.
    needs_snapshot: bool,
    /// Whether a configuration came into force during this event and must be pushed.
    has_new_version: bool,
    /// Whether `StateChange::FloorUnmet` was reported; it is reported only once.
    is_floor_reported: bool,
}

impl Dissemination {
    /// Offers a whole configuration from the store or a peer.
    pub(crate) fn offer<R>(&mut self, config: Arc<Config>, cx: &mut Cx<'_, R>) -> Offer {
        let version = config.version;
        let offer = self.sync.offer(config);
        self.handle_offer_result(offer, version, cx);
        offer
    }

    /// Offers a configuration that a peer sent as a delta.
    pub(crate) fn offer_delta<R>(&mut self, delta: &Delta, cx: &mut Cx<'_, R>) -> Offer {
        let offer = self.sync.offer_delta(delta);
        self.handle_offer_result(offer, delta.version, cx);
        self.needs_snapshot |= offer == Offer::Invalid;
        offer
    }

    fn handle_offer_result<R>(&mut self, offer: Offer, version: ConfigVersion, cx: &mut Cx<'_, R>) {
        match offer {
            Offer::Applied => {
                self.has_new_version = true;
                self.needs_snapshot = false;
            }
            Offer::Older => cx.report(StateChange::ConfigOlder(version)),
            Offer::Invalid => cx.report(StateChange::ConfigInvalid(version)),
            Offer::Same | Offer::WrongBase => {}
        }
    }

    /// Ends a pull whose reply had the result `offer`.
    pub(crate) fn handle_pull_result<R: Rng>(&mut self, offer: Offer, cx: &mut Cx<'_, R>) {
        match offer {
            Offer::Applied | Offer::Same => self.puller.succeed(),
            Offer::Older | Offer::WrongBase | Offer::Invalid => self.fail_pull(Millis::new(0), cx),
        }
    }

    pub(crate) fn fail_pull<R: Rng>(&mut self, at_least: Millis, cx: &mut Cx<'_, R>) {
        self.puller.fail(at_least, cx.now, cx.rng);
    }

    /// Pulls a newer configuration if a live peer holds one and the puller allows it.
    pub(crate) fn pull<R: Rng>(&mut self, membership: &Membership, cx: &mut Cx<'_, R>) {
        let is_live = |id: &&NodeId| {
            membership.table.get(id).is_some_and(|peer| peer.status != PeerStatus::Dead)
        };
        let mut holders = self.versions.holders_above(self.sync.version());
        holders.retain(is_live);
        let Some(peer) = self.puller.begin(&holders, cx.now, cx.rng) else { return };
        let Some(to) = membership.addr(&peer) else { return };
        let digest = self.sync.digest().filter(|_| !self.needs_snapshot);
        let request = PendingRequest::Pull { peer };
        cx.send(to, PeerMessage::ConfigPull(digest), EXCHANGE_TIMEOUT, request);
    }

    /// Sends the configuration in force to the alive links that are not known to hold it.
    pub(crate) fn push<R>(
        &mut self,
        membership: &mut Membership,
        status: &SyncStatus,
        cx: &mut Cx<'_, R>,
    ) {
        let version = self.sync.version();
        if version == ConfigVersion::default() {
            return;
        }
        let delta = self.sync.last_delta();
        for link in membership.links().outgoing.clone() {
            let Some(peer) = membership.table.get(&link) else { continue };
            if peer.status != PeerStatus::Alive || self.versions.get(&link).held >= version {
                continue;
            }
            match &delta {
                Some(delta) => {
                    let request = PendingRequest::Push { peer: link, version };
                    let message = PeerMessage::ConfigPush(delta.clone());
                    cx.send(peer.peer_addr, message, EXCHANGE_TIMEOUT, request);
                }
                None => send_heartbeat(peer.peer_addr, status, cx),
            }
        }
    }

    /// Handles a link's acknowledgement of a push; `held` is the version it holds now.
    pub(crate) fn handle_push_ack<R>(
        &mut self,
        peer: &NodeId,
        pushed: ConfigVersion,
        held: ConfigVersion,
        (membership, status): (&Membership, &SyncStatus),
        cx: &mut Cx<'_, R>,
    ) {
        self.versions.record(peer, held);
        if held < pushed
            && let Some(to) = membership.addr(peer)
        {
            // The delta had another base. A heartbeat makes the peer pull.
            send_heartbeat(to, status, cx);
        }
    }

    /// Pushes the configuration that came into force during this event, if there is one.
    pub(crate) fn flush<R>(
        &mut self,
        membership: &mut Membership,
        status: &SyncStatus,
        cx: &mut Cx<'_, R>,
    ) {
        if std::mem::take(&mut self.has_new_version) {
            self.push(membership, status, cx);
        }
    }

    /// Records the dead nodes in the reply to a join as possible former links.
    pub(crate) fn record_former_links(&mut self, peers: &[Peer]) {
        let dead = peers.iter().filter(|peer| peer.status == PeerStatus::Dead);
        self.former_links.extend(dead.map(|peer| (peer.id.clone(), peer.peer_addr)));
    }

    /// Asks links for the version floor, and settles it when all have answered or were asked
    /// often enough.
    pub(crate) fn discover_floor<R>(&mut self, membership: &mut Membership, cx: &mut Cx<'_, R>) {
        const FLOOR_REQUEST_TIMEOUT: Millis = Millis::new(250);
        if self.floor.is_settled() {
            return;
        }
        let mut links = membership.links().both();
        for link in self.floor.due(&links, MAX_FLOOR_REQUESTS, cx.now) {
            if let Some(to) = membership.addr(&link) {
                membership.join_peer(to, FLOOR_REQUEST_TIMEOUT, cx);
            }
        }
        let former_links: Vec<NodeId> = self.former_links.keys().cloned().collect();
        for link in self.floor.due(&former_links, MAX_FLOOR_REQUESTS_TO_DEAD, cx.now) {
            membership.join_peer(self.former_links[&link], FLOOR_REQUEST_TIMEOUT, cx);
        }
        links.extend(former_links);
        let waited = membership.joiner.has_waited(membership.seeds.len(), cx.now);
        self.floor.settle(&links, waited);
    }

    /// Publishes the configuration in force to traffic if the floor admits its version.
    pub(crate) fn publish<R>(&mut self, cx: &mut Cx<'_, R>) {
        let version = self.sync.version();
        let published = self.published.as_ref().map(|cfg| cfg.version).unwrap_or_default();
        if self.floor.admits(version) && version > published {
            self.published = self.sync.config().cloned();
            cx.report(StateChange::ConfigApplied(version));
            cx.out.publish();
        } else if self.floor.is_settled() && version < self.floor.floor() && !self.is_floor_reported
        {
            self.is_floor_reported = true;
            cx.report(StateChange::FloorUnmet(self.floor.floor()));
        }
    }
}

/// Sends an extra heartbeat, which tells the peer the version that this node holds.
fn send_heartbeat<R>(to: SocketAddr, status: &SyncStatus, cx: &mut Cx<'_, R>) {
    let request = PendingRequest::Probe { to };
    cx.send(to, PeerMessage::Ping(status.clone()), PING_TIMEOUT, request);
}
