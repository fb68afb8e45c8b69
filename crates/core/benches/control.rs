//! The cost of the control state by the number of peers: time for each event, and bytes of state.

use std::alloc::{GlobalAlloc, Layout, System};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use almondsail_core::config::{
    Change, Config, ConfigContent, Delta, Priority, Route, ServerVersion,
};
use almondsail_core::control::{
    Action, Control, ControlSettings, Event, PeerMessage, RequestId, SyncStatus,
};
use almondsail_core::ids::{ConfigVersion, Incarnation, WriteId};
use almondsail_core::peers::{AnnouncedBackend, BackendState, Peer, PeerStatus};
use almondsail_core::store::{Revision, StoreReply, StoreRequest, StoredConfig};
use almondsail_core::units::{Instant, Millis, UnixMillis};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const PEERS: [usize; 4] = [100, 400, 1_400, 2_800];
const SERVICES: usize = 46;
const WALL: UnixMillis = UnixMillis::new(1_700_000_000_000);

/// Counts the bytes in use.
struct Counting;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is a name"))
}

fn peer(index: usize) -> Peer {
    let addr = SocketAddr::from(([10, 1, (index >> 8) as u8, index as u8], 7_000));
    Peer {
        id: name(&format!("node-{index}")),
        host: name(&format!("host-{}", index / 4)),
        data_centre: name(&format!("dc{}", index % 7)),
        region: name(&format!("r{}", index % 2)),
        peer_addr: addr,
        door_addr: addr,
        incarnation: Incarnation::new(WALL.get()),
        status: PeerStatus::Alive,
        backend: Some(AnnouncedBackend {
            service: name(&format!("service-{}", index % SERVICES)),
            version: name("v1"),
            slots: 12,
            connections: 130,
            state: BackendState::Ready,
        }),
    }
}

/// A configuration with the services of the installation in two years.
fn config(version: u64) -> Config {
    let mut content = ConfigContent::default();
    for index in 0..SERVICES {
        let service: almondsail_core::ids::ServiceName = name(&format!("service-{index}"));
        let route = Route {
            name: name(&format!("route-{index}")),
            service: service.clone(),
            prefix: name(&format!("/service-{index}")),
            priority: Priority::Interactive,
            idempotent: true,
            deadline: Millis::new(1_000 + version),
        };
        let version = ServerVersion { service: service.clone(), version: name("v1") };
        for change in [
            Change::CreateService { name: service, member: name("depots") },
            Change::CreateVersion(version),
            Change::CreateRoute(route),
        ] {
            content = change.apply(&content, WALL).expect("the change is valid");
        }
    }
    let (version, write_id) = (ConfigVersion::new(version), WriteId::new([version as u8; 16]));
    Config { version, write_id, content, history: Vec::new() }
}

fn at(micros: u64) -> Instant {
    Instant::new(micros)
}

fn request(message: PeerMessage) -> Event {
    Event::PeerRequest { id: RequestId::new(1), message }
}

/// A control state that knows `peers` nodes and holds version 1.
fn control(peers: usize, rng: &mut SmallRng) -> Control {
    let builder = ControlSettings::builder()
        .node(name("node-0"))
        .host(name("host-0"))
        .data_centre(name("dc0"))
        .region(name("r0"))
        .peer_addr(peer(0).peer_addr)
        .door_addr(peer(0).door_addr);
    let mut control = Control::new(builder.build().expect("complete"), at(0), WALL);
    let read = |control: &mut Control, time: u64, rng: &mut SmallRng| {
        for action in control.handle(at(time), WALL, Event::Tick, rng) {
            if let Action::Store { id, request: StoreRequest::Read } = action {
                let config = Some(Arc::new(config(1)));
                let revision = Revision::new(1);
                let reply = StoreReply::Value(StoredConfig { revision, config });
                control.handle(at(time), WALL, Event::StoreReply { id, reply }, rng);
            }
        }
    };
    (1..12).for_each(|tick| read(&mut control, tick * 100_000, rng));
    let entries = (1..peers).map(peer).collect();
    control.handle(at(1_200_000), WALL, request(PeerMessage::PeerUpdates(entries)), rng);
    control
}

fn status_of(control: &Control) -> SyncStatus {
    SyncStatus {
        node: peer(1).id,
        incarnation: peer(1).incarnation,
        config_version: control.status().held,
        config_digest: control.config().map(|cfg| cfg.digest()),
        table_digest: 1,
        stops_digest: 0,
    }
}

fn bench(c: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut group = c.benchmark_group("control");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_millis(1_500));
    group.sample_size(20);
    for peers in PEERS {
        let before = IN_USE.load(Ordering::Relaxed);
        let state = control(peers, &mut rng);
        let bytes = IN_USE.load(Ordering::Relaxed) - before;
        assert_eq!(state.peers().count(), peers);
        assert_eq!(state.config().map(|cfg| cfg.version), Some(ConfigVersion::new(1)));
        println!("control/bytes/{peers}: {bytes} bytes, {} for each peer", bytes / peers);

        let ping = request(PeerMessage::Ping(status_of(&state)));
        let push = Delta::between(&config(1), &config(2));
        let push = request(PeerMessage::ConfigPush(push));
        let events = [
            ("tick", 1_300_000, Event::Tick),
            ("tick_with_ping", 2_200_000, Event::Tick),
            ("ping", 1_300_000, ping),
            ("new_version", 1_300_000, push),
        ];
        for (name, time, event) in events {
            group.bench_function(BenchmarkId::new(name, peers), |b| {
                let input = || (state.clone(), event.clone());
                let take = |(mut state, event): (Control, Event)| {
                    let actions = state.handle(at(time), WALL, event, &mut rng);
                    (state, actions)
                };
                b.iter_batched(input, take, BatchSize::SmallInput);
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
