//! The immutable state that traffic threads read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::{Config, ConfigContent, Rollout, RolloutPhase, Route, StopMark};
use crate::ids::{DataCentre, NodeId, Region, RouteName, ServiceName, VersionName};
use crate::peers::{AnnouncedBackend, BackendState, Peer, PeerStatus};
use crate::traffic::{Endpoint, TrafficSplit};
use crate::traffic::{ServiceView, SnapshotInput};

/// The state that traffic threads read. A call uses one snapshot for all of its decisions.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The id of this node.
    pub node: NodeId,
    /// The data centre of this node.
    pub data_centre: DataCentre,
    /// The region of this node.
    pub region: Region,
    /// The configuration in force; `None` until the node may serve calls.
    pub config: Option<Arc<Config>>,
    /// The configured routes, longest prefix first.
    routes: Vec<Route>,
    /// The split of each route's calls between versions.
    splits: BTreeMap<RouteName, TrafficSplit>,
    /// The endpoints of each configured service.
    services: BTreeMap<ServiceName, ServiceView>,
    /// The address of the inbound listener of every node that takes calls.
    pub inbound_addrs: BTreeMap<NodeId, SocketAddr>,
    /// The known stop marks, from the configuration and from peers.
    pub stops: BTreeSet<StopMark>,
    /// The backend server beside this node, while one is announced.
    pub local_backend: Option<AnnouncedBackend>,
    /// Whether this node is shutting down.
    pub leaving: bool,
}

impl Snapshot {
    /// Builds a snapshot from `input` and all known nodes, including this one.
    pub fn build<'a>(input: SnapshotInput<'a>, peers: impl Iterator<Item = &'a Peer>) -> Self {
        let peers: Vec<&Peer> = peers.filter(|peer| peer.status.takes_calls()).collect();
        let empty = ConfigContent::default();
        let content = input.config.map_or(&empty, |cfg| &cfg.content);
        let stops: BTreeSet<StopMark> = input.stops.union(&content.stops).cloned().collect();
        Self {
            node: input.own.id.clone(),
            data_centre: input.own.data_centre.clone(),
            region: input.own.region.clone(),
            config: input.config.cloned(),
            routes: sorted_routes(content),
            splits: splits(content, &stops),
            services: service_views(content, &peers),
            inbound_addrs: peers.iter().map(|peer| (peer.id.clone(), peer.inbound_addr)).collect(),
            stops,
            local_backend: input.own.backend.clone(),
            leaving: input.own.status == PeerStatus::Leaving,
        }
    }

    /// Returns the route with the longest prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.prefix.matches(path))
    }

    /// Returns the split of `route`'s calls between versions; `None` if the route is unknown or its
    /// service has no stable version.
    pub fn split(&self, route: &RouteName) -> Option<&TrafficSplit> {
        self.splits.get(route)
    }

    /// Returns the endpoints of `service`; `None` if the service is not configured.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceView> {
        self.services.get(service)
    }

    /// Returns whether `version` of `service` is stopped on `route`.
    pub fn is_stopped(
        &self,
        service: &ServiceName,
        version: &VersionName,
        route: &RouteName,
    ) -> bool {
        self.stops.iter().any(|stop| stop.applies_to(service, version, route))
    }
}

fn sorted_routes(content: &ConfigContent) -> Vec<Route> {
    let mut routes: Vec<Route> = content.routes.values().cloned().collect();
    routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.as_str().len()));
    routes
}

fn splits(
    content: &ConfigContent,
    stops: &BTreeSet<StopMark>,
) -> BTreeMap<RouteName, TrafficSplit> {
    let split = |route: &Route| {
        let stable = content.services.get(&route.service)?.stable.clone()?;
        let rollout = content.rollouts.get(&route.service);
        Some((route.name.clone(), route_split(route, stable, rollout, stops)))
    };
    content.routes.values().filter_map(split).collect()
}

fn route_split(
    route: &Route,
    stable: VersionName,
    rollout: Option<&Rollout>,
    stops: &BTreeSet<StopMark>,
) -> TrafficSplit {
    let is_stopped = |version: &VersionName| {
        stops.iter().any(|s| s.applies_to(&route.service, version, &route.name))
    };
    match rollout {
        Some(r) if r.phase.is_open() && !is_stopped(&r.to) => {
            let share = if route.idempotent { r.share } else { r.non_idempotent_share };
            TrafficSplit { stable, canary: Some((r.to.clone(), share)) }
        }
        // A version that is stopped after its rollout was completed is replaced by the old one.
        Some(r) if r.phase == RolloutPhase::Completed && is_stopped(&r.to) => {
            TrafficSplit { stable: r.from.clone(), canary: None }
        }
        _ => TrafficSplit { stable, canary: None },
    }
}

fn service_views(content: &ConfigContent, peers: &[&Peer]) -> BTreeMap<ServiceName, ServiceView> {
    let mut endpoints: BTreeMap<&ServiceName, BTreeMap<VersionName, Vec<Endpoint>>> =
        BTreeMap::new();
    for peer in peers {
        let Some(backend) = &peer.backend else { continue };
        if backend.state == BackendState::Draining {
            continue;
        }
        let versions = endpoints.entry(&backend.service).or_default();
        versions.entry(backend.version.clone()).or_default().push(endpoint(peer, backend));
    }
    let view = |name: &ServiceName| {
        let versions = endpoints.remove(name).unwrap_or_default();
        let endpoints =
            versions.into_iter().map(|(version, list)| (version, list.into())).collect();
        (name.clone(), ServiceView { endpoints })
    };
    content.services.keys().map(view).collect()
}

fn endpoint(peer: &Peer, backend: &AnnouncedBackend) -> Endpoint {
    Endpoint {
        node: peer.id.clone(),
        incarnation: peer.incarnation,
        inbound_addr: peer.inbound_addr,
        data_centre: peer.data_centre.clone(),
        region: peer.region.clone(),
        version: backend.version.clone(),
        slots: backend.slots,
        state: backend.state,
    }
}
