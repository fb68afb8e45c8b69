//! The view of the control state that calls read.

use std::collections::HashMap;
use std::sync::Arc;

use super::fleet_control::FleetControl;
use crate::fleet::{
    BackendStatus, Endpoint, FleetView, MeshConfig, ServiceEndpoints, TrafficPolicy, TrafficRamp,
    VersionRule,
};
use crate::ids::{ConfigVersion, ServiceName};
use crate::units::{Instant, Millis};

impl FleetControl {
    /// How long after its start a node waits for the store before it serves with what other nodes
    /// know, and for other nodes before it serves part of a configuration.
    const STORE_WAIT_TIME: Millis = Millis::new(700);
    /// How long after its start a node without the store waits for departures that other nodes
    /// remember, before it sends calls to the backend server beside it.
    const DEPARTURE_WAIT_TIME: Millis = Millis::new(450);

    /// Returns the configuration by which calls are handled: the one in force, or part of one while
    /// none is.
    fn served_config(&self, now: Instant) -> Option<&Arc<MeshConfig>> {
        let partial =
            self.partial_config.as_ref().filter(|partial| self.may_serve_part(now, partial));
        self.config.as_ref().map(|text| &text.config).or(partial)
    }

    /// Returns whether no other node can be heard to have another configuration, which this node
    /// would get from it and put in force.
    fn may_serve_part(&self, now: Instant, partial: &MeshConfig) -> bool {
        let mut known = self.peers.newer_nodes(ConfigVersion::default());
        Self::has_waited(now) && known.all(|peer| peer.config_version() == partial.version)
    }

    fn has_waited(now: Instant) -> bool {
        now > Instant::new(0) + Self::STORE_WAIT_TIME
    }

    /// Returns whether the node can serve: it has a configuration, and no newer one was accepted
    /// before it started, as far as the store or the other nodes can tell.
    pub fn is_ready(&self, now: Instant) -> bool {
        let has_listed = self.operator_watcher.is_listed() && self.nodes_watcher.is_listed();
        let has_config = self.served_config(now).is_some();
        has_config && (has_listed || Self::has_waited(now)) && !self.is_leaving
    }

    /// Returns the state by which calls are handled.
    pub fn view(&self, now: Instant) -> FleetView {
        let backend = self.backend(now).cloned();
        let config = self.served_config(now).cloned();
        let service = backend.as_ref().map(|backend| &backend.service);
        let wants_evidence = service
            .and_then(|service| self.rollouts.get(service))
            .is_some_and(|rollout| rollout.is_running());
        FleetView {
            node: self.identity.entry.node.clone(),
            data_centre: self.identity.entry.data_centre.clone(),
            config: config.filter(|_| self.is_ready(now) || self.is_leaving),
            is_outdated: self.behind_since.is_some(),
            services: self.services(now),
            warmth: self.registration.warmth().filter(|_| backend.is_some()),
            cold_rule: self.cold_rule(),
            ramp: self.evacuations.ramp(&self.identity.entry.data_centre),
            backend,
            is_leaving: self.is_leaving,
            nodes: u32::try_from(self.peers.live_count()).unwrap_or(u32::MAX) + 1,
            wants_evidence,
        }
    }

    /// Returns the backend server beside this node, once other nodes have had time to report that
    /// it has left.
    pub(super) fn backend(&self, now: Instant) -> Option<&BackendStatus> {
        self.registration.backend().filter(|_| self.knows_departures(now))
    }

    /// Returns whether the node knows the departures from before its start: the store was listed,
    /// or the other nodes have had time to report them.
    pub(super) fn knows_departures(&self, now: Instant) -> bool {
        self.nodes_watcher.is_listed() || now >= Instant::new(0) + Self::DEPARTURE_WAIT_TIME
    }

    /// Returns the known backend servers with the nodes beside them.
    pub(super) fn backends(&self, now: Instant) -> Vec<KnownBackend<'_>> {
        let own = TrafficPolicy::open_backend(self.is_leaving, self.backend(now));
        let own = own.map(|status| KnownBackend {
            entry: &self.identity.entry,
            status,
            is_silent: false,
        });
        let others = self.peers.iter().filter_map(|peer| {
            let heartbeat = peer.heartbeat.as_ref()?;
            let status =
                TrafficPolicy::open_backend(heartbeat.is_leaving, heartbeat.backend.as_ref())?;
            Some(KnownBackend { entry: &peer.entry, status, is_silent: peer.is_silent(now) })
        });
        own.into_iter().chain(others).collect()
    }

    pub(super) fn services(&self, now: Instant) -> HashMap<ServiceName, ServiceEndpoints> {
        let mut by_service: HashMap<&ServiceName, Vec<KnownBackend<'_>>> = HashMap::new();
        for known in self.backends(now) {
            by_service.entry(&known.status.service).or_default().push(known);
        }
        let endpoints = |(service, known): (&ServiceName, Vec<KnownBackend<'_>>)| {
            let rule = self.rule(service, &known);
            let cold_rate = self.cold_limit(service).map(|limit| limit.rate);
            let endpoint = |known: &KnownBackend<'_>| Endpoint {
                cold_rate: cold_rate.filter(|_| known.status.is_cold),
                ramp: self.evacuations.ramp(&known.entry.data_centre),
                ..known.endpoint()
            };
            let endpoints = known.iter().map(endpoint).collect();
            (service.clone(), ServiceEndpoints { endpoints, rule })
        };
        by_service.into_iter().map(endpoints).collect()
    }

    /// Returns which versions of `service` may take calls. Without a rollout order, a second
    /// version that appears gets none: calls stay with the version of the oldest server.
    pub(super) fn rule(&self, service: &ServiceName, known: &[KnownBackend<'_>]) -> VersionRule {
        if let Some(rollout) = self.rollouts.get(service) {
            return rollout.rule();
        }
        let oldest = known.iter().map(|known| known.status).min_by_key(|status| status.started_at);
        match oldest {
            Some(oldest) if known.iter().any(|k| k.status.version != oldest.version) => {
                VersionRule::Only(oldest.version.clone())
            }
            _ => VersionRule::Any,
        }
    }
}

/// A known backend server with the entry of the node beside it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownBackend<'a> {
    pub(super) entry: &'a crate::fleet::NodeEntry,
    pub(super) status: &'a BackendStatus,
    pub(super) is_silent: bool,
}

impl KnownBackend<'_> {
    /// Returns the endpoint without limits.
    fn endpoint(&self) -> Endpoint {
        Endpoint {
            node: self.entry.node.clone(),
            address: self.entry.inbound,
            data_centre: self.entry.data_centre.clone(),
            backend: self.status.id.clone(),
            version: self.status.version.clone(),
            slots: self.status.slots,
            is_cold: self.status.is_cold,
            cold_rate: None,
            ramp: TrafficRamp::OPEN,
            is_silent: self.is_silent,
        }
    }
}
