//! Benchmarks of a fleet by the number of nodes: time per event of the control state, datagrams for a
//! change, and time for deciding one call of a team with a quota.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use almondsail_core::fleet::{
    AnnouncedState, Announcement, BackendStatus, CallerIdentity, ConfigText, CredentialDigest,
    Destination, FleetAction, FleetControl, FleetEvent, FleetIdentity, Heartbeat, LatestHeartbeat,
    MeshConfig, MeshConfigBuilder, MeshRoute, NodeDigest, NodeEntry, NodeKey, Quota, RouteKey,
    SentCredential, ServiceSettings, Team,
};
use almondsail_core::ids::{ConfigVersion, Incarnation, QuotaRequestId};
use almondsail_core::quota::{
    OutgoingRequest, QuotaCall, QuotaDecision, QuotaGrant, QuotaMembers, QuotaNode,
    QuotaNodeCounts, QuotaRequester, TokenCount,
};
use almondsail_core::units::{CallRate, Instant, Micros, Millis, UnixMillis};
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

/// Numbers of teams and nodes for which the decision on a call is measured.
const TEAM_AND_NODE_COUNTS: [(u16, u16); 2] = [(85, 87), (2_000, 1_412)];

/// The time between two calls at a node.
const CALL_INTERVAL: Micros = Micros::new(1_000);

fn credential(team: u16) -> String {
    format!("credential-{team:05}-of-a-usual-length")
}

/// Returns a configuration of teams with quotas.
fn config_of_teams(teams: u16) -> MeshConfig {
    let bays = ServiceSettings { connections: 130, ..Default::default() };
    let route = MeshRoute {
        name: "r1".parse().expect("a name"),
        host: "a.example".into(),
        prefix: "/x/".into(),
        idempotent: true,
        timeout: Millis::new(500),
        target_latency: Millis::new(200),
        priority: 1,
        max_attempts: 2,
        is_public: false,
        destinations: vec![Destination { service: "bays".parse().expect("a name"), weight: 1 }],
    };
    let builder = MeshConfigBuilder::new(ConfigVersion::new(1))
        .service("bays".parse().expect("a name"), bays)
        .route(route);
    let add = |builder: MeshConfigBuilder, n: u16| {
        let quota = Quota { rate: CallRate::from_milli(400_000), burst: 200 };
        let name = format!("team-{n}").parse().expect("a name");
        let team = Team { name, priority: 1, quota: Some(quota) };
        builder.team(team, vec![CredentialDigest::of(credential(n).as_bytes())])
    };
    (0..teams).fold(builder, add).build().expect("a configuration")
}

/// Measures the lookup of the credential of a call and the decision on it by the tokens at hand.
fn quotas(criterion: &mut Criterion) {
    for (teams, nodes) in TEAM_AND_NODE_COUNTS {
        let config = config_of_teams(teams);
        let route = config.route("a.example", "/x/").expect("a route");
        let mut now = Instant::new(10_000_000);
        let node = |n: u16| {
            let address = entry_address(n);
            QuotaNode::new(entry(n).node, address, Micros::new(700_000))
        };
        let members = QuotaMembers::new(entry(0).node, now);
        let count = u32::from(nodes);
        let counts = QuotaNodeCounts { fresh: count, local: count, known: count };
        let members = members.update(now, (0..nodes).map(node).collect(), counts, |_| false);
        let mut requester = QuotaRequester::new(QuotaRequestId::new(1));
        let credentials: Vec<String> = (0..teams).map(credential).collect();
        let mut turn = 0;
        criterion.bench_function(&format!("decide_call/{teams}/{nodes}"), |bencher| {
            bencher.iter(|| {
                turn = (turn + 1) % credentials.len();
                now = now + CALL_INTERVAL;
                let call = QuotaCall { latest: now + Millis::new(100), is_waiting: false };
                let digest = CredentialDigest::of(credentials[turn].as_bytes());
                let sent = SentCredential::Sent(digest);
                let identity = CallerIdentity::of(&config, route, sent);
                let team = identity.team().expect("a team");
                let (decision, request) =
                    requester.decide(now, team, call, &members, config.version);
                if let Some(request) = request {
                    grant(&mut requester, now, &request);
                }
                if let QuotaDecision::Wait(_) = decision {
                    let call = QuotaCall { is_waiting: true, ..call };
                    black_box(requester.decide(now, team, call, &members, config.version));
                }
            });
        });
    }
}

/// Grants all that `request` asks for.
fn grant(requester: &mut QuotaRequester, now: Instant, request: &OutgoingRequest) {
    let granted = request.request.wanted.max(TokenCount::new(1));
    let grant = QuotaGrant {
        id: request.request.id,
        team: request.request.team.clone(),
        granted,
        expires: QuotaGrant::MAX_LIFETIME,
        retry_after: Millis::new(0),
    };
    requester.receive(now, request.to, &grant).expect("a pending request");
}

criterion_group!(benches, events, quotas);
criterion_main!(benches);
