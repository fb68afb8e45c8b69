//! Benchmarks of the control state of a fleet by the number of nodes: time per event, and datagrams
//! for a change.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use almondsail_core::fleet::{
    AnnouncedState, Announcement, BackendStatus, ConfigText, FleetAction, FleetControl, FleetEvent,
    FleetIdentity, Heartbeat, LatestHeartbeat, MeshConfigBuilder, NodeDigest, NodeEntry, NodeKey,
    RouteKey, ServiceSettings,
};
use almondsail_core::ids::{ConfigVersion, Incarnation};
use almondsail_core::units::{Instant, Micros, Millis, UnixMillis};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Numbers of nodes for which the control state is measured.
const NODE_COUNTS: [u16; 4] = [16, 91, 295, 1_412];
/// Number of data centres, in which the nodes are by turns.
const DATA_CENTRES: u16 = 6;
const WALL: UnixMillis = UnixMillis::new(1_700_000_000_000);
/// Numbers of nodes of the same data centre and of others in a digest.
const DIGEST_NODES: [usize; 2] = [24, 32];

/// A node that hears a whole fleet.
struct Fleet {
    control: FleetControl,
    nodes: u16,
    now: Instant,
    sequence: u64,
    rng: SmallRng,
}

impl Fleet {
    /// Creates a node that has heard of `nodes` nodes, itself included, and has no events due.
    fn new(nodes: u16) -> Self {
        let entry = entry(0);
        let identity = FleetIdentity {
            backend: SocketAddr::new(entry.inbound.ip(), 80),
            entry,
            incarnation: Incarnation::new(1),
            service: "bays".parse().expect("a name"),
        };
        let now = Instant::new(10_000_000);
        let control = FleetControl::new(identity, now);
        let rng = SmallRng::seed_from_u64(1);
        let mut fleet = Self { control, nodes, now, sequence: 0, rng };
        fleet.handle(FleetEvent::Announced(announcement()));
        let config = FleetEvent::PeerConfig { from: entry_address(1), config: Some(config(1)) };
        fleet.handle(config);
        fleet.hear_all();
        fleet
    }

    fn handle(&mut self, event: FleetEvent) -> Vec<FleetAction> {
        self.control.handle(self.now, WALL, event, &mut self.rng)
    }

    /// Hears a heartbeat of each node, and handles what is due then.
    fn hear_all(&mut self) {
        self.sequence += 1;
        for n in 1..self.nodes {
            let heartbeat = heartbeat(n, self.sequence);
            self.handle(FleetEvent::Heartbeat(heartbeat));
        }
        self.now = self.now + Millis::new(400);
        self.handle(FleetEvent::Tick);
    }

    /// Returns a heartbeat that changes nothing.
    fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        heartbeat(1, self.sequence)
    }

    /// Returns a heartbeat that passes on the newest ones of other nodes, as in a large fleet.
    fn next_digest(&mut self) -> Heartbeat {
        let mut heartbeat = self.next_heartbeat();
        let count = DIGEST_NODES.iter().sum::<usize>();
        let latest = (2..self.nodes).take(count).map(|n| LatestHeartbeat {
            key: NodeKey::of(&entry(n).node, Incarnation::new(1)),
            sequence: self.sequence,
            revision: 1,
        });
        let latest = latest.collect();
        heartbeat.digest = Some(Box::new(NodeDigest { latest, ..NodeDigest::default() }));
        heartbeat
    }

    /// Returns the number of datagrams that a change of the configuration makes the node send.
    fn datagrams_for_change(&mut self) -> usize {
        self.now = self.now + Millis::new(100);
        let from = entry_address(1);
        let actions = self.handle(FleetEvent::PeerConfig { from, config: Some(config(2)) });
        let receivers = |action: &FleetAction| match action {
            FleetAction::Heartbeat(_, to) => to.len(),
            _ => 0,
        };
        actions.iter().map(receivers).sum()
    }
}

fn entry_address(n: u16) -> SocketAddr {
    let [high, low] = n.to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(10, 0, high, low).into(), 7_000)
}

fn entry(n: u16) -> NodeEntry {
    NodeEntry {
        node: format!("host-{n}").parse().expect("a name"),
        inbound: entry_address(n),
        heartbeats: entry_address(n),
        data_centre: format!("dc-{}", n % DATA_CENTRES).parse().expect("a name"),
        departed: None,
    }
}

fn heartbeat(n: u16, sequence: u64) -> Heartbeat {
    Heartbeat {
        entry: entry(n),
        incarnation: Incarnation::new(1),
        sequence,
        revision: 1,
        config_version: ConfigVersion::new(1),
        is_store_reached: true,
        is_leaving: false,
        backend: Some(BackendStatus {
            id: format!("i-{n}").parse().expect("a name"),
            started_at: WALL,
            service: format!("service-{}", n % 4).parse().expect("a name"),
            version: "v1".parse().expect("a name"),
            slots: 10,
            is_cold: false,
        }),
        departures: Vec::new(),
        rollouts: Vec::new(),
        evacuations: None,
        confirmation: None,
        digest: None,
    }
}

fn announcement() -> Announcement {
    Announcement {
        id: "i-0".parse().expect("a name"),
        started_at: WALL,
        sequence: 1,
        service: "bays".parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        address: SocketAddr::new(entry_address(0).ip(), 80),
        data_centre: "dc-0".parse().expect("a name"),
        slots: 10,
        state: AnnouncedState::Ready,
        cold: Millis::new(0),
    }
}

fn config(version: u64) -> ConfigText {
    let bays = ServiceSettings { connections: 130, ..Default::default() };
    let config = MeshConfigBuilder::new(ConfigVersion::new(version))
        .service("bays".parse().expect("a name"), bays)
        .build()
        .expect("a configuration without routes");
    ConfigText { config: config.into(), compressed: Vec::new().into(), unknown_kinds: Vec::new() }
}

/// Measures an event, of which `next` makes one after the other.
fn bench_event(
    criterion: &mut Criterion,
    name: &str,
    nodes: u16,
    next: impl Fn(&mut Fleet) -> FleetEvent,
) {
    let mut fleet = Fleet::new(nodes);
    criterion.bench_function(&format!("{name}/{nodes}"), |bencher| {
        bencher.iter_custom(|count| {
            let mut took = Duration::ZERO;
            for _ in 0..count {
                let event = next(&mut fleet);
                let start = std::time::Instant::now();
                black_box(fleet.handle(event));
                took += start.elapsed();
            }
            took
        });
    });
}

fn events(criterion: &mut Criterion) {
    for nodes in NODE_COUNTS {
        bench_event(criterion, "heartbeat", nodes, |fleet| {
            FleetEvent::Heartbeat(fleet.next_heartbeat())
        });
        bench_event(criterion, "heartbeat_with_digest", nodes, |fleet| {
            FleetEvent::Heartbeat(fleet.next_digest())
        });
        bench_event(criterion, "tick", nodes, |_| FleetEvent::Tick);
        bench_event(criterion, "answered_call", nodes, |_| {
            FleetEvent::Answered(RouteKey::new(1), Micros::new(1_000))
        });
        let fleet = Fleet::new(nodes);
        criterion.bench_function(&format!("view/{nodes}"), |bencher| {
            bencher.iter(|| black_box(fleet.control.view(fleet.now)));
        });
        println!(
            "datagrams for a change, {nodes} nodes: {}",
            Fleet::new(nodes).datagrams_for_change()
        );
    }
}

criterion_group!(benches, events);
criterion_main!(benches);
