//! Nodes of one mesh, started within the process of the test.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use almondsail_core::config::{Config, ConfigContent, Priority, Route, ServerVersion, Service};
use almondsail_core::ids::{ConfigVersion, Incarnation, WriteId};
use almondsail_core::peers::{AnnouncedBackend, BackendState, Peer, PeerStatus};
use almondsail_core::traffic::{Snapshot, SnapshotInput};
use almondsail_core::units::Millis;
use almondsail_node::{Traffic, TrafficBuilder, TrafficSettings, serve_callers, serve_inbound};
use arc_swap::ArcSwap;
use opentelemetry::metrics::Meter;
use tokio::net::TcpListener;
use tokio::sync::watch;

pub const INSTALLATION_KEY: &[u8] = b"a key of the tests' installation";

/// A running node with its addresses, published snapshot and stop signal.
pub struct TestNode {
    pub callers: SocketAddr,
    pub inbound: SocketAddr,
    pub traffic: Traffic,
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    pub stop: watch::Sender<bool>,
    pub tasks: Vec<tokio::task::JoinHandle<()>>,
    pub peer: Peer,
    pub settings: TrafficSettings,
}

/// The nodes of a mesh, each with a snapshot that contains all others.
pub struct TestMesh {
    pub nodes: Vec<TestNode>,
    pub config: Arc<Config>,
}

/// The size and limits of the mesh that a test starts.
pub struct MeshPlan {
    /// The address of each node's backend server; a node without one only forwards calls.
    pub backends: Vec<Option<SocketAddr>>,
    pub slots: u16,
    pub connections: u16,
    pub deadline: Millis,
}

impl MeshPlan {
    pub fn new(backends: &[Option<SocketAddr>]) -> Self {
        let deadline = Millis::new(2_000);
        Self { backends: backends.to_vec(), slots: 12, connections: 120, deadline }
    }
}

/// Builds a configuration with the routes `/read` (idempotent), `/book` (not idempotent) and
/// `/report` (idempotent, background priority).
fn config(deadline: Millis) -> Config {
    let mut content = ConfigContent::default();
    let service = Service {
        name: "bays".parse().unwrap(),
        team: "depots".parse().unwrap(),
        stable: Some("v1".parse().unwrap()),
    };
    content.services.insert(service.name.clone(), service);
    let version =
        ServerVersion { service: "bays".parse().unwrap(), version: "v1".parse().unwrap() };
    content.versions.insert(version);
    for (name, priority, idempotent) in [
        ("read", Priority::Interactive, true),
        ("book", Priority::Interactive, false),
        ("report", Priority::Background, true),
    ] {
        let route = Route {
            name: name.parse().unwrap(),
            service: "bays".parse().unwrap(),
            prefix: format!("/{name}").parse().unwrap(),
            priority,
            idempotent,
            deadline,
        };
        content.routes.insert(route.name.clone(), route);
    }
    let write_id = WriteId::new([1; 16]);
    Config { version: ConfigVersion::new(7), write_id, content, history: Vec::new() }
}

fn peer(i: usize, inbound: SocketAddr, plan: &MeshPlan) -> Peer {
    let backend = plan.backends[i].map(|_| AnnouncedBackend {
        service: "bays".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: plan.slots,
        connections: plan.connections,
        state: BackendState::Ready,
    });
    Peer {
        id: format!("node-{i}").parse().unwrap(),
        host: format!("host-{i}").parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        region: "region-1".parse().unwrap(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        inbound_addr: inbound,
        incarnation: Incarnation::new(1),
        status: PeerStatus::Alive,
        backend,
    }
}

impl TestMesh {
    /// Starts a node for each entry of `plan.backends`.
    pub async fn start(plan: &MeshPlan) -> Self {
        Self::start_with(plan, |_| {}).await
    }

    /// Starts nodes whose settings `change` has modified.
    pub async fn start_with(plan: &MeshPlan, change: impl Fn(&mut TrafficSettings)) -> Self {
        Self::start_all(plan, change, None).await
    }

    /// Starts nodes whose counters are exported through `meter`.
    pub async fn start_metered(plan: &MeshPlan, meter: Option<Meter>) -> Self {
        Self::start_all(plan, |_| {}, meter).await
    }

    async fn start_all(
        plan: &MeshPlan,
        change: impl Fn(&mut TrafficSettings),
        meter: Option<Meter>,
    ) -> Self {
        let config = Arc::new(config(plan.deadline));
        let mut listeners = Vec::new();
        let mut peers = Vec::new();
        for i in 0..plan.backends.len() {
            let inbound = TcpListener::bind("127.0.0.1:0").await.unwrap();
            peers.push(peer(i, inbound.local_addr().unwrap(), plan));
            listeners.push((inbound, TcpListener::bind("127.0.0.1:0").await.unwrap()));
        }
        let mut nodes = Vec::new();
        for (i, (inbound, callers)) in listeners.into_iter().enumerate() {
            let unused = "127.0.0.1:1".parse().unwrap();
            let mut settings = TrafficSettings::new(plan.backends[i].unwrap_or(unused));
            change(&mut settings);
            let snapshot = snapshot(&peers[i], Some(&config), &peers);
            let snapshot = Arc::new(ArcSwap::from_pointee(snapshot));
            let builder = TrafficBuilder::new(Arc::clone(&snapshot), settings.clone());
            let builder = match &meter {
                Some(meter) => builder.meter(meter.clone()),
                None => builder,
            };
            let traffic = builder.installation_key(INSTALLATION_KEY).build().unwrap();
            let peer = peers[i].clone();
            nodes.push(TestNode::start(peer, settings, snapshot, traffic, inbound, callers));
        }
        Self { nodes, config }
    }

    /// Returns the address at which node `i` accepts calls of callers.
    pub fn entry(&self, i: usize) -> SocketAddr {
        self.nodes[i].callers
    }

    /// Stops the leaving node `i` as on a planned stop, and starts it again without its state.
    pub async fn restart(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.stop.send_replace(true);
        for task in std::mem::take(&mut node.tasks) {
            task.await.unwrap();
        }
        let inbound = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = node.peer.clone();
        peer.inbound_addr = inbound.local_addr().unwrap();
        peer.status = PeerStatus::Alive;
        peer.incarnation = Incarnation::new(node.peer.incarnation.get() + 1);
        let snapshot = Arc::new(ArcSwap::from_pointee((**node.snapshot.load()).clone()));
        let settings = node.settings.clone();
        let builder = TrafficBuilder::new(Arc::clone(&snapshot), settings.clone());
        let traffic = builder.installation_key(INSTALLATION_KEY).build().unwrap();
        *node = TestNode::start(peer, settings, snapshot, traffic, inbound, callers);
        self.change_peer(i, |_| {});
    }

    /// Changes the peer entry of node `i` and publishes it to all nodes.
    pub fn change_peer(&mut self, i: usize, change: impl Fn(&mut Peer)) {
        change(&mut self.nodes[i].peer);
        let peers: Vec<Peer> = self.nodes.iter().map(|node| node.peer.clone()).collect();
        for node in &self.nodes {
            node.snapshot.store(Arc::new(snapshot(&node.peer, Some(&self.config), &peers)));
        }
    }
}

/// Builds the snapshot of node `own`, which contains all `peers`.
pub fn snapshot(own: &Peer, config: Option<&Arc<Config>>, peers: &[Peer]) -> Snapshot {
    let stops = BTreeSet::new();
    Snapshot::build(SnapshotInput { own, config, stops: &stops }, peers.iter())
}

impl TestNode {
    fn start(
        peer: Peer,
        settings: TrafficSettings,
        snapshot: Arc<ArcSwap<Snapshot>>,
        traffic: Traffic,
        inbound: TcpListener,
        callers: TcpListener,
    ) -> Self {
        let (stop, stopped) = watch::channel(false);
        let (callers_addr, inbound_addr) =
            (callers.local_addr().unwrap(), inbound.local_addr().unwrap());
        let tasks = vec![
            tokio::spawn(serve_callers(callers, traffic.clone(), stopped.clone())),
            tokio::spawn(serve_inbound(inbound, traffic.clone(), stopped)),
        ];
        let (callers, inbound) = (callers_addr, inbound_addr);
        Self { callers, inbound, traffic, snapshot, stop, tasks, peer, settings }
    }

    /// Stops the node at once and closes all its connections.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
