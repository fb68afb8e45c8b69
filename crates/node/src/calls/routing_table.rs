//! The routing table of calls.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use almondsail_core::ids::{CallKey, ConfigVersion, NodeId, RouteName, ServiceName, VersionName};
use almondsail_core::peers::BackendState;
use almondsail_core::traffic::{
    AdmissionLimits, Endpoint, EndpointLoad, REGISTRARS_PER_KEY, Snapshot, registrars,
};
use almondsail_core::units::{Instant, Micros};

use crate::calls::call_counters::{CounterKey, CounterRegistry, CounterSet, CountingRole};
use crate::calls::connection_pool::{ConnectionPool, PoolLimits};

/// A snapshot with the connections, endpoint loads and counters for its nodes and routes.
///
/// The connections, loads and counters outlive the snapshot: the next table takes them over.
#[derive(Debug)]
pub(crate) struct RoutingTable {
    pub(crate) snapshot: Arc<Snapshot>,
    /// The connections to each node of the snapshot.
    pub(crate) pools: HashMap<NodeId, Arc<ConnectionPool>>,
    /// When the set of nodes in `pools` last changed.
    pub(crate) nodes_changed_at: Instant,
    /// The endpoints of each configured service.
    pub(crate) services: HashMap<ServiceName, ServiceTable>,
    /// The counters of each configured route.
    pub(crate) routes: HashMap<RouteName, RouteCounters>,
    /// The counters of calls that match no route.
    pub(crate) unknown_route: Arc<CounterSet>,
}

/// The endpoints of a service by version.
#[derive(Debug)]
pub(crate) struct ServiceTable {
    pub(crate) versions: BTreeMap<VersionName, Vec<Target>>,
    /// The nodes with an endpoint of the service.
    pub(crate) nodes: BTreeSet<NodeId>,
    /// When `nodes` last changed.
    pub(crate) nodes_changed_at: Instant,
}

/// An endpoint with its observed load and connections.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) endpoint: Endpoint,
    pub(crate) load: Arc<EndpointLoad>,
    pub(crate) pool: Arc<ConnectionPool>,
}

/// The counters of a route: for calls that were not sent, and for sent calls by version.
#[derive(Debug)]
pub(crate) struct RouteCounters {
    /// Calls that were not sent to a backend server.
    pub(crate) entry: Arc<CounterSet>,
    pub(crate) versions: BTreeMap<VersionName, VersionCounters>,
}

/// The counters of a version on a route, as entry node and as node beside the backend server.
#[derive(Debug)]
pub(crate) struct VersionCounters {
    pub(crate) entry: Arc<CounterSet>,
    pub(crate) backend: Arc<CounterSet>,
}

impl RoutingTable {
    /// Builds the table for `snapshot`, reusing the state of nodes and endpoints that `old` has too.
    pub(crate) fn build(
        snapshot: Arc<Snapshot>,
        old: Option<&Self>,
        now: Instant,
        limits: PoolLimits,
        registry: &CounterRegistry,
    ) -> Self {
        let routes = route_counters(&snapshot, registry);
        let pools = node_pools(&snapshot, old, limits);
        let is_same =
            |old: &&Self| old.snapshot.inbound_addrs.keys().eq(snapshot.inbound_addrs.keys());
        let nodes_changed_at = old.filter(is_same).map_or(now, |old| old.nodes_changed_at);
        let services: BTreeSet<&ServiceName> =
            snapshot.config.iter().flat_map(|cfg| cfg.content.services.keys()).collect();
        let services = services
            .into_iter()
            .map(|name| {
                let old = old.and_then(|table| table.services.get(name));
                (name.clone(), ServiceTable::build(&snapshot, name, old, now, &pools))
            })
            .collect();
        let unknown_route =
            registry.counters(CounterKey { at: CountingRole::Entry, route: None, version: None });
        Self { snapshot, pools, nodes_changed_at, services, routes, unknown_route }
    }

    /// Returns the version of the configuration in force; the default if there is none.
    pub(crate) fn config_version(&self) -> ConfigVersion {
        self.snapshot.config.as_ref().map_or(ConfigVersion::default(), |cfg| cfg.version)
    }

    /// Returns the limits that the backend server beside this node announced; zero if there is none.
    pub(crate) fn admission_limits(&self) -> AdmissionLimits {
        self.snapshot.local_backend.as_ref().map_or(
            AdmissionLimits { slots: 0, connections: 0 },
            |backend| AdmissionLimits { slots: backend.slots, connections: backend.connections },
        )
    }

    /// Returns the endpoint of `service` at `node`.
    pub(crate) fn target(&self, service: &ServiceName, node: &NodeId) -> Option<&Target> {
        let versions = &self.services.get(service)?.versions;
        versions.values().flatten().find(|target| target.endpoint.node == *node)
    }

    /// Chooses the nodes that register `key` for calls of `service`.
    pub(crate) fn registrars(&self, service: &ServiceName, key: &CallKey) -> Vec<NodeId> {
        let service_nodes = self.services.get(service).map(|service| &service.nodes);
        let all = self.snapshot.inbound_addrs.keys();
        registrars(key, service_nodes.into_iter().flatten(), all).into_iter().cloned().collect()
    }

    /// Returns for how long the set of nodes from which registrars of `service` are chosen has been
    /// unchanged.
    pub(crate) fn stable_for(&self, service: &ServiceName, now: Instant) -> Micros {
        let Some(service) = self.services.get(service) else { return Micros::default() };
        let unchanged_for = now.since(service.nodes_changed_at);
        if service.nodes.len() < REGISTRARS_PER_KEY {
            unchanged_for.min(now.since(self.nodes_changed_at))
        } else {
            unchanged_for
        }
    }

    /// Returns the counters of `version` on `route`.
    pub(crate) fn counters(
        &self,
        route: &RouteName,
        version: &VersionName,
    ) -> Option<&VersionCounters> {
        self.routes.get(route)?.versions.get(version)
    }
}

impl ServiceTable {
    fn build(
        snapshot: &Snapshot,
        name: &ServiceName,
        old: Option<&Self>,
        now: Instant,
        pools: &HashMap<NodeId, Arc<ConnectionPool>>,
    ) -> Self {
        let mut versions: BTreeMap<VersionName, Vec<Target>> = BTreeMap::new();
        let endpoints = snapshot.service(name).map(|view| &view.endpoints);
        for endpoint in endpoints.into_iter().flatten().flat_map(|(_, list)| list.iter()) {
            // The node of each endpoint has an inbound address, and so a pool.
            let Some(pool) = pools.get(&endpoint.node) else { continue };
            let target = Target::build(endpoint, old, now, pool);
            versions.entry(endpoint.version.clone()).or_default().push(target);
        }
        let nodes: BTreeSet<NodeId> =
            versions.values().flatten().map(|target| target.endpoint.node.clone()).collect();
        let nodes_changed_at =
            old.filter(|old| old.nodes == nodes).map_or(now, |old| old.nodes_changed_at);
        Self { versions, nodes, nodes_changed_at }
    }
}

impl Target {
    fn build(
        endpoint: &Endpoint,
        old: Option<&ServiceTable>,
        now: Instant,
        pool: &Arc<ConnectionPool>,
    ) -> Self {
        let old = old
            .and_then(|old| old.versions.get(&endpoint.version))
            .and_then(|list| list.iter().find(|target| target.endpoint.node == endpoint.node));
        let endpoint = endpoint.clone();
        let Some(old) = old else {
            let (load, pool) = (Arc::new(EndpointLoad::new(now)), Arc::clone(pool));
            return Self { endpoint, load, pool };
        };
        if endpoint.state == BackendState::Starting && old.endpoint.state != BackendState::Starting
        {
            old.load.restart_warm_up(now);
        }
        Self { endpoint, load: Arc::clone(&old.load), pool: Arc::clone(pool) }
    }
}

/// Creates a pool for each node; keeps that of `old` if the node's address is unchanged.
fn node_pools(
    snapshot: &Snapshot,
    old: Option<&RoutingTable>,
    limits: PoolLimits,
) -> HashMap<NodeId, Arc<ConnectionPool>> {
    let reused = |node: &NodeId, addr: &SocketAddr| {
        let old = old.filter(|old| old.snapshot.inbound_addrs.get(node) == Some(addr))?;
        old.pools.get(node).cloned()
    };
    let new = |addr: &SocketAddr| Arc::new(ConnectionPool::new(*addr, limits));
    let pool = |(node, addr): (&NodeId, &SocketAddr)| {
        (node.clone(), reused(node, addr).unwrap_or_else(|| new(addr)))
    };
    snapshot.inbound_addrs.iter().map(pool).collect()
}

fn route_counters(
    snapshot: &Snapshot,
    registry: &CounterRegistry,
) -> HashMap<RouteName, RouteCounters> {
    let Some(config) = &snapshot.config else { return HashMap::new() };
    let mut routes = HashMap::new();
    for route in config.content.routes.values() {
        let counters = |at, version| {
            let label = Some((route.service.clone(), route.name.clone()));
            registry.counters(CounterKey { at, route: label, version })
        };
        let versions = config
            .content
            .versions
            .iter()
            .filter(|version| version.service == route.service)
            .map(|version| {
                let name = version.version.clone();
                let entry = counters(CountingRole::Entry, Some(name.clone()));
                let backend = counters(CountingRole::Backend, Some(name.clone()));
                (name, VersionCounters { entry, backend })
            })
            .collect();
        let entry = counters(CountingRole::Entry, None);
        routes.insert(route.name.clone(), RouteCounters { entry, versions });
    }
    routes
}
