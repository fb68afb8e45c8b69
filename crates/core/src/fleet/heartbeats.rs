//! Sends heartbeats to other nodes.

use std::net::SocketAddr;

use rand::Rng;

use super::fleet_control::FleetControl;
use super::heartbeat_targets::Addresses;
use super::relays;
use crate::fleet::{
    BackendStatus, Departure, FleetAction, Heartbeat, NodeDigest, NodeEntry, NodeKey, Rollout,
    RolloutReport, StoreRole,
};
use crate::units::{Instant, Micros, Millis};

/// The part of a heartbeat that other nodes pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HeartbeatContent {
    entry: NodeEntry,
    backend: Option<BackendStatus>,
    is_leaving: bool,
    is_store_reached: bool,
}

impl FleetControl {
    /// The time between two heartbeats to nodes of the same data centre.
    const HEARTBEAT_INTERVAL: Millis = Millis::new(300);
    /// The time between two heartbeats to nodes of other data centres, where bytes are expensive.
    /// Changes are sent at once.
    const REMOTE_HEARTBEAT_INTERVAL: Millis = Millis::new(1_000);
    /// The shortest time between two heartbeats for changes in a large fleet. Changes that follow
    /// closely are sent together.
    const UPDATE_INTERVAL: Millis = Millis::new(50);
    /// The largest number of rollouts in a heartbeat.
    const MAX_REPORTS: usize = 32;
    /// The number of nodes that judge rollouts in a fleet in which not all nodes hear all others.
    const JUDGES: usize = 3;

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, now: Instant, rng: &mut impl Rng) {
        self.ask_questions(now);
        let is_update = self.has_update && now >= self.next_update;
        let is_local_due = now >= self.next_heartbeat;
        let is_remote_due = now >= self.next_remote_heartbeat;
        let (has_local_relays, has_remote_relays) = self.relays.due(now);
        let tells_local = is_update || is_local_due || has_local_relays;
        let tells_remote = is_update || is_remote_due || has_remote_relays;
        if !tells_local && !tells_remote {
            return;
        }
        if is_update {
            self.has_update = false;
            if self.peers.has_relays() {
                self.next_update = now + Self::UPDATE_INTERVAL;
            }
        }
        let has_new_departures = is_update && std::mem::take(&mut self.has_new_departures);
        let tells_departures =
            has_new_departures || is_local_due || is_remote_due || !self.peers.has_relays();
        let departures = if tells_departures { self.departures(now) } else { Vec::new() };
        let heartbeat = Heartbeat { departures, ..self.heartbeat(now) };
        if tells_local {
            let mut to = self.targets.local(&self.peers, is_local_due);
            self.add_judges(&heartbeat.rollouts, &mut to);
            let digest = self.relays.local_digest(now, &self.peers, is_local_due);
            self.push_heartbeats(&heartbeat, digest, to);
        }
        if tells_remote {
            let to = self.targets.remote(&self.peers, is_remote_due);
            let digest = self.relays.remote_digest(now, &self.peers, is_remote_due);
            let confirmation = heartbeat.confirmation.filter(|_| self.confirms_remote(is_update));
            self.push_heartbeats(&Heartbeat { confirmation, ..heartbeat }, digest, to);
        }
        // In a small fleet an update is as good as the next heartbeat.
        let counts = is_update && !self.peers.has_relays();
        if is_local_due || counts {
            self.next_heartbeat = next_heartbeat_time(now, Self::HEARTBEAT_INTERVAL, rng);
        }
        if is_remote_due || counts {
            self.next_remote_heartbeat =
                next_heartbeat_time(now, Self::REMOTE_HEARTBEAT_INTERVAL, rng);
        }
    }

    /// Sends a heartbeat to a node that has just started, which would wait for the next one without
    /// knowing the backend server beside this node.
    pub(super) fn greet(&mut self, now: Instant, to: SocketAddr) {
        let heartbeat = Heartbeat { departures: self.departures(now), ..self.heartbeat(now) };
        self.actions.push(FleetAction::Heartbeat(Box::new(heartbeat), vec![to]));
    }

    /// Sends the heartbeats of other nodes that the node at `to` asked for.
    pub(super) fn answer_question(&mut self, now: Instant, to: SocketAddr, wanted: &[NodeKey]) {
        let known = wanted.iter().filter_map(|key| self.peers.by_key(*key));
        let changed: Vec<Heartbeat> =
            known.filter_map(relays::passed_on).take(NodeDigest::MAX_CHANGED).collect();
        if !changed.is_empty() {
            let digest = NodeDigest { changed, ..NodeDigest::default() };
            let heartbeat = Heartbeat { digest: Some(Box::new(digest)), ..self.heartbeat(now) };
            self.actions.push(FleetAction::Heartbeat(Box::new(heartbeat), vec![to]));
        }
    }

    /// Asks for the heartbeats that this node lacks and others have.
    fn ask_questions(&mut self, now: Instant) {
        for (to, wanted) in self.relays.take_questions(now) {
            let digest = NodeDigest { wanted, ..NodeDigest::default() };
            let heartbeat = Heartbeat { digest: Some(Box::new(digest)), ..self.heartbeat(now) };
            self.actions.push(FleetAction::Heartbeat(Box::new(heartbeat), vec![to]));
        }
    }

    /// Returns whether a heartbeat to other data centres confirms the operator's keys. In a small fleet
    /// all nodes hear the leader itself, and those of a data centre tell each other.
    fn confirms_remote(&self, is_update: bool) -> bool {
        is_update || self.peers.has_relays() || self.store_role == StoreRole::Leader
    }

    fn push_heartbeats(&mut self, heartbeat: &Heartbeat, digest: NodeDigest, to: Addresses) {
        if !to.linked.is_empty() {
            let digest = Some(Box::new(digest)).filter(|digest| !digest.is_empty());
            let heartbeat = Heartbeat { digest, ..heartbeat.clone() };
            self.actions.push(FleetAction::Heartbeat(Box::new(heartbeat), to.linked));
        }
        if !to.others.is_empty() {
            self.actions.push(FleetAction::Heartbeat(Box::new(heartbeat.clone()), to.others));
        }
    }

    /// Adds the nodes that judge rollouts, if this node has evidence for them and they may not hear
    /// it otherwise.
    fn add_judges(&self, rollouts: &[RolloutReport], to: &mut Addresses) {
        let has_evidence = rollouts.iter().any(|report| report.evidence.is_some());
        if !has_evidence || self.peers.is_mesh() {
            return;
        }
        let judges = self.peers.live.ranked.iter().take(Self::JUDGES);
        let judges = judges.filter_map(|rank| self.peers.get(rank.node()));
        for address in judges.map(|peer| peer.entry.heartbeats) {
            if !to.linked.contains(&address) && !to.others.contains(&address) {
                to.others.push(address);
            }
        }
    }

    /// Returns whether this node hears the evidence of all nodes, so that it can judge rollouts.
    pub(super) fn is_judge(&self) -> bool {
        let own_rank = self.own_rank();
        let before = self.peers.ranked_before(&own_rank);
        self.peers.is_mesh() || before.take(Self::JUDGES).count() < Self::JUDGES
    }

    /// Returns the departures for the next heartbeat.
    fn departures(&self, now: Instant) -> Vec<Departure> {
        // Nodes begin their turns at different departures.
        let turn = self.own_key.get().wrapping_add(self.sequence);
        self.registration.departures(now, now < self.newcomer_until, turn)
    }

    /// Returns the reports of running rollouts, and of as many others by turns as there is room for.
    fn rollout_reports(&self, now: Instant) -> Vec<RolloutReport> {
        let (running, ended): (Vec<&Rollout>, Vec<&Rollout>) =
            self.rollouts.values().partition(|rollout| rollout.is_running());
        // The evidence of one report at most is of the backend server beside this node.
        let mut reports: Vec<&Rollout> = by_turns(&running, Self::MAX_REPORTS, self.sequence);
        let room = Self::MAX_REPORTS - reports.len();
        reports.extend(by_turns(&ended, room, self.sequence));
        reports.into_iter().map(|rollout| rollout.report(now, self.sequence)).collect()
    }

    /// Returns the next heartbeat without departures and a digest.
    fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.sequence += 1;
        let content = HeartbeatContent {
            entry: self.identity.entry.clone(),
            backend: self.backend(now).cloned(),
            is_leaving: self.is_leaving,
            is_store_reached: self.store_contact.is_reached(),
        };
        if self.last_content.as_ref() != Some(&content) {
            self.revision = self.sequence;
            self.last_content = Some(content.clone());
        }
        Heartbeat {
            entry: content.entry,
            incarnation: self.identity.incarnation,
            sequence: self.sequence,
            revision: self.revision,
            config_version: self.config_version(),
            is_store_reached: content.is_store_reached,
            is_leaving: content.is_leaving,
            backend: content.backend,
            departures: Vec::new(),
            rollouts: self.rollout_reports(now),
            evacuations: self.evacuations.digest().map(Box::new),
            confirmation: self.freshness.confirmation(now),
            digest: None,
        }
    }
}

/// Returns the time of the next heartbeat, up to a tenth of `period` early, so that nodes don't
/// send in step.
fn next_heartbeat_time(now: Instant, period: Millis, rng: &mut impl Rng) -> Instant {
    let period = Micros::from(period).get();
    now + Micros::new(rng.random_range(period * 9 / 10..=period))
}

/// Returns the part of `all` with at most `room` entries that is due in the heartbeat `turn`.
fn by_turns<'a, T>(all: &[&'a T], room: usize, turn: u64) -> Vec<&'a T> {
    let parts = all.len().div_ceil(room.max(1)).max(1);
    let part = usize::try_from(turn % parts as u64).unwrap_or_default();
    all.iter().skip(part * room).take(room).copied().collect()
}
