//! The control state of a node of a fleet.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;

use super::config_fetches::ConfigFetches;
use super::departure_records::DepartureRecords;
use super::freshness::Freshness;
use super::heartbeat_targets::HeartbeatTargets;
use super::heartbeats::HeartbeatContent;
use super::held_announcement::HeldAnnouncement;
use super::node_entry_lease::NodeEntryLease;
use super::peer::Peer;
use super::pending_request::{PendingRequest, RequestPurpose};
use super::relays::Relays;
use super::store_contact::StoreContact;
use crate::fleet::{
    ConfigText, Departure, Evacuations, FleetAction, FleetChange, FleetEvent, FleetIdentity,
    KeySpace, LastUpdates, MeshConfig, NodeKey, PeerDirectory, Registration, Rollout, StoreRequest,
    StoreRole, StoreWatcher, StoreWrite,
};
use crate::ids::{BackendId, ConfigVersion, ServiceName};
use crate::store::StoreEra;
use crate::units::{Instant, Millis, UnixMillis};

/// The control state of a node of a fleet.
///
/// Follows the store and the other nodes, and is correct with either alone: the newest
/// configuration from any source is in force, and no lower version follows it.
#[derive(Debug)]
pub struct FleetControl {
    pub(super) identity: FleetIdentity,
    /// The configuration in force, whose version only increases.
    pub(super) config: Option<ConfigText>,
    /// Served in part while there is no configuration.
    pub(super) partial_config: Option<Arc<MeshConfig>>,
    pub(super) registration: Registration,
    pub(super) held_announcement: HeldAnnouncement,
    pub(super) peers: PeerDirectory,
    pub(super) rollouts: BTreeMap<ServiceName, Rollout>,
    pub(super) evacuations: Evacuations,
    /// Whether the data centre of this node was evacuated, as last published.
    pub(super) is_evacuated: bool,
    pub(super) lease: NodeEntryLease,
    pub(super) departure_records: DepartureRecords,
    pub(super) operator_watcher: StoreWatcher,
    pub(super) nodes_watcher: StoreWatcher,
    pub(super) pending_requests: BTreeMap<u64, PendingRequest>,
    pub(super) next_request: u64,
    pub(super) store_contact: StoreContact,
    /// What this node does to follow the operator's keys, as last reported.
    pub(super) store_role: StoreRole,
    /// The latest era that the store named; `None` before its first answer. Pending requests were
    /// sent in this era.
    pub(super) store_era: Option<StoreEra>,
    pub(super) freshness: Freshness,
    /// When the store last answered a request.
    pub(super) last_store_reply: Option<Instant>,
    /// When the configuration in force took effect.
    pub(super) config_since: Option<Instant>,
    pub(super) actions: Vec<FleetAction>,
    /// The key by which other nodes name this start.
    pub(super) own_key: NodeKey,
    pub(super) targets: HeartbeatTargets,
    pub(super) relays: Relays,
    pub(super) sequence: u64,
    /// The sequence number of the first heartbeat with `last_content`.
    pub(super) revision: u64,
    pub(super) last_content: Option<HeartbeatContent>,
    pub(super) next_heartbeat: Instant,
    pub(super) next_remote_heartbeat: Instant,
    /// No heartbeat is sent for a change before this instant.
    pub(super) next_update: Instant,
    /// Heartbeats carry all departures until this instant, because a node has started recently.
    pub(super) newcomer_until: Instant,
    pub(super) is_leaving: bool,
    /// Whether the view for calls must be published again.
    pub(super) is_changed: bool,
    /// Whether the view for calls lacks changes of other nodes, which may wait until
    /// `next_peers_view`.
    pub(super) are_peers_changed: bool,
    next_peers_view: Instant,
    /// Running rollouts are not judged again before this instant.
    pub(super) next_judgement: Instant,
    /// Whether other nodes must get a heartbeat at once.
    pub(super) has_update: bool,
    /// Whether other nodes must get departures at once.
    pub(super) has_new_departures: bool,
    /// Since when another node has a newer configuration.
    pub(super) behind_since: Option<Instant>,
    pub(super) config_fetches: ConfigFetches,
    /// The backend server that was reported as cold.
    pub(super) reported_cold: Option<BackendId>,
    /// Whether the node was ready and knew the departures from before its start, as last published.
    pub(super) readiness: (bool, bool),
}

impl FleetControl {
    /// The shortest time between two walks over all nodes of a large fleet for the same purpose.
    pub(super) const WALK_INTERVAL: Millis = Millis::new(100);

    /// Creates the state of a node that starts at `now`.
    pub fn new(identity: FleetIdentity, now: Instant) -> Self {
        let lease = NodeEntryLease::new(identity.entry.clone());
        Self {
            peers: PeerDirectory::new(identity.entry.data_centre.clone()),
            own_key: NodeKey::of(&identity.entry.node, identity.incarnation),
            targets: HeartbeatTargets::new(
                &identity.entry.node,
                identity.entry.data_centre.clone(),
            ),
            relays: Relays::new(&identity.entry.node),
            identity,
            config: None,
            partial_config: None,
            registration: Registration::default(),
            held_announcement: HeldAnnouncement::default(),
            rollouts: BTreeMap::new(),
            evacuations: Evacuations::default(),
            is_evacuated: false,
            lease,
            departure_records: DepartureRecords::default(),
            operator_watcher: StoreWatcher::new(KeySpace::Operator),
            nodes_watcher: StoreWatcher::new(KeySpace::Nodes),
            pending_requests: BTreeMap::new(),
            next_request: 0,
            store_contact: StoreContact::default(),
            store_role: StoreRole::default(),
            store_era: None,
            freshness: Freshness::default(),
            last_store_reply: None,
            config_since: None,
            actions: Vec::new(),
            sequence: 0,
            revision: 0,
            last_content: None,
            next_heartbeat: now,
            next_remote_heartbeat: now,
            next_update: now,
            newcomer_until: now,
            is_leaving: false,
            is_changed: false,
            are_peers_changed: false,
            next_peers_view: now,
            next_judgement: now,
            has_update: false,
            has_new_departures: false,
            behind_since: None,
            config_fetches: ConfigFetches::default(),
            reported_cold: None,
            readiness: (false, false),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        event: FleetEvent,
        rng: &mut impl Rng,
    ) -> Vec<FleetAction> {
        match event {
            FleetEvent::Tick => self.tick(now),
            FleetEvent::Store { id, response } => {
                self.handle_store_response(now, wall, id, response, rng);
            }
            FleetEvent::StoreBegun(id) => self.record_store_head(now, id),
            FleetEvent::Heartbeat(heartbeat) => self.handle_heartbeat(now, wall, heartbeat),
            FleetEvent::PeerConfigBegun(from) => self.config_fetches.record_head(from),
            FleetEvent::PeerConfig { from, config } => {
                self.handle_peer_config(now, from, config, rng);
            }
            FleetEvent::Announced(announcement) => {
                self.handle_announcement(now, wall, &announcement);
            }
            FleetEvent::Left(id, started_at) => {
                self.handle_leaving(now, wall, Departure { id, started_at });
            }
            FleetEvent::Answered(route, took) => {
                self.update_own_rollout(|rollout, version| {
                    rollout.record_answer(now, version, route, took);
                });
            }
            FleetEvent::Failed(route) => {
                self.update_own_rollout(|rollout, version| {
                    rollout.record_failure(now, version, route);
                });
            }
            FleetEvent::BackendDoubted(at) => self.handle_doubt(now, at),
            FleetEvent::StopRequested => {
                self.is_leaving = true;
                self.mark_changed();
            }
        }
        self.report_warmth();
        self.report_departure_records(now);
        self.drive_rollouts(now, wall);
        self.send_due_requests(now, rng);
        self.fetch_newer_config(now, rng);
        self.send_heartbeats(now, rng);
        self.publish_changes(now);
        std::mem::take(&mut self.actions)
    }

    /// Publishes the view for calls if it has changed. In a large fleet, changes of other nodes that
    /// follow closely are published together, because a view holds all of them.
    fn publish_changes(&mut self, now: Instant) {
        let are_peers_due = self.are_peers_changed && now >= self.next_peers_view;
        if !self.is_changed && !are_peers_due {
            return;
        }
        self.is_changed = false;
        self.are_peers_changed = false;
        if self.peers.has_relays() {
            self.next_peers_view = now + Self::WALK_INTERVAL;
        }
        self.actions.push(FleetAction::Publish);
    }

    /// Returns the identity of the node.
    pub const fn identity(&self) -> &FleetIdentity {
        &self.identity
    }

    /// Returns the configuration in force with its text; `None` before one is known.
    pub const fn config(&self) -> Option<&ConfigText> {
        self.config.as_ref()
    }

    /// Returns the evacuation orders that the node knows.
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns when the parts of the state were last updated.
    pub fn last_updates(&self) -> LastUpdates {
        LastUpdates {
            config_version: self.config_version(),
            config: self.config_since,
            store: self.last_store_reply,
            watch: self.pending_watch(KeySpace::Operator).map(|pending| pending.sent),
            confirmed: self.freshness.confirmed_at(),
            store_role: self.store_role,
            peers: self.peers.live_count(),
            oldest_peer: self.peers.live().map(Peer::last_seen).min(),
        }
    }

    fn tick(&mut self, now: Instant) {
        self.peers.tick(now);
        if self.registration.tick(now) {
            if self.registration.backend().is_none() {
                self.report(FleetChange::BackendExpired);
            }
            self.mark_changed();
        }
        self.release_held_announcement(now);
        self.tick_evacuations(now);
        self.are_peers_changed |= self.peers.take_changed();
        let readiness = (self.is_ready(now), self.knows_departures(now));
        if readiness != self.readiness {
            self.readiness = readiness;
            self.mark_changed();
        }
    }

    fn send_due_requests(&mut self, now: Instant, rng: &mut impl Rng) {
        let entry_watch_time = self.is_entry_watcher().then_some(StoreWatcher::WATCH_TIME);
        self.nodes_watcher.set_watch_time(entry_watch_time);
        self.check_overdue_watch(now);
        self.update_store_role();
        let watch_time = match self.store_role {
            StoreRole::Leader => Some(StoreWatcher::LEADER_WATCH_TIME),
            StoreRole::Watcher => Some(StoreWatcher::WATCH_TIME),
            StoreRole::Follower => None,
        };
        self.operator_watcher.set_watch_time(watch_time);
        self.poll_if_stale(now, rng);
        for space in [KeySpace::Operator, KeySpace::Nodes] {
            if !self.is_pending(&RequestPurpose::Watch(space))
                && let Some(request) = self.watcher(space).request(now)
            {
                self.request(now, RequestPurpose::Watch(space), request);
            }
        }
        // The entry of an earlier start names its last departure, which must be read before the
        // entry is replaced.
        let may_write = !self.is_leaving && self.knows_departures(now);
        if may_write
            && !self.is_pending(&RequestPurpose::Lease)
            && let Some(request) = self.lease.request(now)
        {
            self.request(now, RequestPurpose::Lease, request);
        }
        if let Some(request) = self.departure_records.request(now) {
            let purpose = match &request {
                StoreRequest::Write(StoreWrite::Departures(departures, _)) => {
                    RequestPurpose::Departures(departures.clone())
                }
                _ => RequestPurpose::DepartureLease,
            };
            self.request(now, purpose, request);
        }
    }

    fn update_store_role(&mut self) {
        let role = self.store_role();
        if role == self.store_role {
            return;
        }
        self.store_role = role;
        self.report(FleetChange::StoreRole(role));
        let may_watch = self.store_contact.is_reached() && !self.is_operator_answer_arriving();
        if role == StoreRole::Leader && may_watch {
            // The pending watch may be lost, and waits for longer than that of a leader.
            self.cancel_watch(KeySpace::Operator);
        }
    }

    pub(super) const fn watcher(&mut self, space: KeySpace) -> &mut StoreWatcher {
        match space {
            KeySpace::Operator => &mut self.operator_watcher,
            KeySpace::Nodes => &mut self.nodes_watcher,
        }
    }

    pub(super) fn is_pending(&self, purpose: &RequestPurpose) -> bool {
        self.pending_requests.values().any(|pending| pending.purpose == *purpose)
    }

    fn pending_watch(&self, space: KeySpace) -> Option<&PendingRequest> {
        let is_watch = |pending: &&PendingRequest| {
            pending.watch_time.is_some() && pending.purpose == RequestPurpose::Watch(space)
        };
        self.pending_requests.values().find(is_watch)
    }

    pub(super) fn request(&mut self, now: Instant, purpose: RequestPurpose, request: StoreRequest) {
        let id = self.next_request;
        self.next_request += 1;
        let (after, watch_time) = match request {
            StoreRequest::Watch(_, after, time) => (Some(after), Some(time)),
            _ => (None, None),
        };
        // A long watch that is lost looks like one that waits.
        if watch_time > Some(StoreWatcher::LEADER_WATCH_TIME) {
            self.lease.renew_now(now);
        }
        let pending = PendingRequest {
            purpose,
            sent: now,
            watch_time,
            after,
            is_doubtful: false,
            head: None,
        };
        self.pending_requests.insert(id, pending);
        self.actions.push(FleetAction::Store { id, request });
    }

    pub(super) fn config_version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion::default(), |text| text.config.version)
    }

    /// Marks that calls and other nodes must learn of a change.
    pub(super) const fn mark_changed(&mut self) {
        self.is_changed = true;
        self.has_update = true;
    }

    pub(super) fn report(&mut self, change: FleetChange) {
        self.actions.push(FleetAction::Report(change));
    }
}
