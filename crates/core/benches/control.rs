//! Benchmarks of the control state by the number of peers: time per event and bytes of state.

#[path = "linear_fits/mod.rs"]
mod linear_fits;

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::hint::black_box;
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
use almondsail_core::ids::{CallKey, ConfigVersion, Incarnation, WriteId};
use almondsail_core::peers::{AnnouncedBackend, BackendState, Peer, PeerStatus};
use almondsail_core::rollout::{CallStats, CellLabel, Evidence, EvidenceReport, Window};
use almondsail_core::store::{Revision, StoreReply, StoreRequest, StoredConfig};
use almondsail_core::traffic::{CallId, KeyClaims};
use almondsail_core::units::{Instant, Millis, UnixMillis};
use criterion::measurement::WallTime;
use criterion::{BenchmarkGroup, BenchmarkId, Criterion, criterion_group, criterion_main};
use linear_fits::LinearFit;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Numbers of nodes for which the control state is measured.
const PEER_COUNTS: [usize; 4] = [100, 400, 1_400, 2_800];
/// Number of services, as planned for the installation in two years.
const SERVICES: usize = 46;
const WALL: UnixMillis = UnixMillis::new(1_700_000_000_000);

/// The system's allocator, with a count of the allocated bytes.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

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
        inbound_addr: addr,
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

/// Returns a configuration with [`SERVICES`] services, each with one version and one route.
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
            Change::CreateService { name: service, team: name("depots") },
            Change::CreateVersion(version),
            Change::CreateRoute(route),
        ] {
            content = change.apply(&content, WALL).expect("the change is valid");
        }
    }
    let (version, write_id) = (ConfigVersion::new(version), WriteId::new([version as u8; 16]));
    Config { version, write_id, content, history: Vec::new() }
}

fn instant(micros: u64) -> Instant {
    Instant::new(micros)
}

fn request(message: PeerMessage) -> Event {
    Event::PeerRequest { id: RequestId::new(1), message }
}

/// Returns a control state that knows `peers` nodes and holds version 1.
fn control(peers: usize, rng: &mut SmallRng) -> Control {
    let builder = ControlSettings::builder()
        .node(name("node-0"))
        .host(name("host-0"))
        .data_centre(name("dc0"))
        .region(name("r0"))
        .peer_addr(peer(0).peer_addr)
        .inbound_addr(peer(0).inbound_addr);
    let mut control = Control::new(builder.build().expect("complete"), instant(0), WALL);
    let read = |control: &mut Control, time: u64, rng: &mut SmallRng| {
        for action in control.handle(instant(time), WALL, Event::Tick, rng) {
            if let Action::Store { id, request: StoreRequest::Read } = action {
                let config = Some(Arc::new(config(1)));
                let revision = Revision::new(1);
                let reply = StoreReply::Value(StoredConfig { revision, config });
                control.handle(instant(time), WALL, Event::StoreReply { id, reply }, rng);
            }
        }
    };
    (1..12).for_each(|tick| read(&mut control, tick * 100_000, rng));
    let entries = (1..peers).map(peer).collect();
    control.handle(instant(1_200_000), WALL, request(PeerMessage::PeerUpdates(entries)), rng);
    control
}

fn status_of(control: &Control) -> SyncStatus {
    SyncStatus {
        node: peer(1).id,
        incarnation: peer(1).incarnation,
        config_version: control.status().held,
        config_digest: control.config().map(|cfg| cfg.digest()),
        table_digest: control.sync_status().table_digest,
        stops_digest: 0,
    }
}

/// Returns a copy of `control` that holds version 2, in which a rollout of service 0 is open.
fn with_rollout(control: &Control, rng: &mut SmallRng) -> Control {
    let mut control = control.clone();
    let before = config(1);
    let start = Change::StartRollout {
        service: name("service-0"),
        to: name("v2"),
        deadline: WALL + Millis::new(3_600_000),
    };
    let version = ServerVersion { service: name("service-0"), version: name("v2") };
    let content = Change::CreateVersion(version).apply(&before.content, WALL).expect("valid");
    let content = start.apply(&content, WALL).expect("valid");
    let version = ConfigVersion::new(2);
    let after = Config { version, write_id: WriteId::new([2; 16]), content, history: Vec::new() };
    let push = request(PeerMessage::ConfigPush(Delta::between(&before, &after)));
    control.handle(instant(1_250_000), WALL, push, rng);
    assert_eq!(control.status().held, version);
    control
}

/// Returns the report of a node in its sixth window with two versions and one route.
fn evidence(sequence: u64) -> EvidenceReport {
    let stats = CallStats { calls: 1_000, ..CallStats::default() };
    let label = |window: u64, version: &str| CellLabel {
        window: Window::new(Window::at(WALL).get() + window),
        route: name("route-0"),
        version: name(version),
    };
    let cells = (0..6).flat_map(|window| [label(window, "v1"), label(window, "v2")]);
    EvidenceReport {
        service: name("service-0"),
        node: peer(SERVICES).id,
        incarnation: peer(SERVICES).incarnation,
        sequence,
        cells: cells.map(|label| (label, stats)).collect(),
    }
}

/// Returns the entry of a known node with a raised incarnation.
fn updated_peer() -> Peer {
    let entry = peer(7);
    Peer { incarnation: entry.incarnation.next(), ..entry }
}

/// Measures `run` on copies of `state` with criterion. Returns the lowest mean time of a sample
/// in microseconds, which depends least on the load of the machine.
fn measure<R>(
    group: &mut BenchmarkGroup<'_, WallTime>,
    id: BenchmarkId,
    state: &Control,
    mut run: impl FnMut(&mut Control) -> R,
) -> f64 {
    let mut lowest = Duration::MAX;
    group.bench_function(id, |b| {
        b.iter_custom(|iterations| {
            let mut sum = Duration::ZERO;
            for _ in 0..iterations {
                let mut copy = state.clone();
                let began = std::time::Instant::now();
                let result = black_box(run(&mut copy));
                sum += began.elapsed();
                drop(result);
            }
            lowest = lowest.min(sum / iterations as u32);
            sum
        });
    });
    lowest.as_nanos() as f64 / 1_000.0
}

/// Returns the value created by `make` and the number of heap bytes that it holds.
fn measure_heap<T>(make: impl FnOnce() -> T) -> (T, usize) {
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let value = make();
    (value, ALLOCATED_BYTES.load(Ordering::Relaxed) - before)
}

/// Returns the measured events: name, time in microseconds and event.
fn events(state: &Control) -> [(&'static str, u64, Event); 7] {
    let status = status_of(state);
    let differing = SyncStatus { table_digest: !status.table_digest, ..status.clone() };
    let differing = request(PeerMessage::Ping(differing));
    let ping = request(PeerMessage::Ping(status));
    let push = request(PeerMessage::ConfigPush(Delta::between(&config(1), &config(2))));
    let update = request(PeerMessage::PeerUpdates(vec![updated_peer()]));
    let known = request(PeerMessage::PeerUpdates(vec![peer(7)]));
    [
        ("core.tick", 1_300_000, Event::Tick),
        ("core.tick_with_ping", 2_200_000, Event::Tick),
        ("core.ping", 1_300_000, ping),
        ("core.ping_differing", 1_300_000, differing),
        ("core.new_version", 1_300_000, push),
        ("core.peer_update", 1_300_000, update),
        ("core.known_update", 1_300_000, known),
    ]
}

/// Measures the bytes that a key registrar holds by its number of idempotency keys.
fn call_keys_state() -> LinearFit {
    let mut fit = LinearFit::new("core.call_keys_state", "B", "keys");
    for count in [1_000, 8_000, 32_000, KeyClaims::MAX_KEYS] {
        let claim_all = || {
            let mut keys = KeyClaims::new(instant(0));
            for index in 0..count {
                let key: CallKey = name(&format!("key-of-a-caller-0123456789abcdef-{index:08}"));
                let call = CallId::new(index as u128);
                keys.claim(instant(0), &name("service-0"), &key, call, &peer(7).id);
            }
            keys
        };
        let (keys, bytes) = measure_heap(claim_all);
        assert_eq!(keys.len(), count);
        fit.points.push((count as f64, bytes as f64));
    }
    fit
}

/// Measures the bytes of evidence that a driver holds by its number of cells.
fn evidence_state() -> LinearFit {
    /// Number of nodes of the service. Each reports the cells of two versions per window.
    const BACKENDS: usize = 30;
    let mut fit = LinearFit::new("core.evidence_state", "B", "cells");
    for windows in [20, 60, 180, 480] {
        let merge_all = || {
            let mut merged = Evidence::default();
            for (window, backend) in (0..windows).flat_map(|w| (0..BACKENDS).map(move |d| (w, d))) {
                let mut report = evidence(window);
                report.node = peer(backend).id;
                report.cells.truncate(2);
                let label = Window::new(Window::at(WALL).get() + window);
                report.cells.iter_mut().for_each(|(cell, _)| cell.window = label);
                merged.merge(&report, label.start());
            }
            merged
        };
        let (merged, bytes) = measure_heap(merge_all);
        fit.points.push((merged.len() as f64, bytes as f64));
    }
    fit
}

fn bench(c: &mut Criterion) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fits: BTreeMap<&'static str, LinearFit> = BTreeMap::new();
    let mut add_point = |name: &'static str, unit: &'static str, size: usize, value: f64| {
        let fit = fits.entry(name).or_insert_with(|| LinearFit::new(name, unit, "peers"));
        fit.points.push((size as f64, value));
    };
    let mut group = c.benchmark_group("control");
    group.warm_up_time(Duration::from_millis(300)).measurement_time(Duration::from_millis(1_500));
    group.sample_size(20);
    for peers in PEER_COUNTS {
        let (state, bytes) = measure_heap(|| control(peers, &mut rng));
        assert_eq!(state.peers().count(), peers);
        assert_eq!(state.config().map(|cfg| cfg.version), Some(ConfigVersion::new(1)));
        add_point("core.state", "B", peers, bytes as f64);
        let (snapshot, bytes) = measure_heap(|| state.snapshot());
        drop(snapshot);
        add_point("core.snapshot_state", "B", peers, bytes as f64);
        for (name, time, event) in events(&state) {
            let run =
                |copy: &mut Control| copy.handle(instant(time), WALL, event.clone(), &mut rng);
            let micros = measure(&mut group, BenchmarkId::new(name, peers), &state, run);
            add_point(name, "us", peers, micros);
        }
        let id = BenchmarkId::new("core.snapshot", peers);
        let micros = measure(&mut group, id, &state, |copy| copy.snapshot());
        add_point("core.snapshot", "us", peers, micros);

        let driver = with_rollout(&state, &mut rng);
        let report = request(PeerMessage::Evidence(evidence(1)));
        let run =
            |copy: &mut Control| copy.handle(instant(1_300_000), WALL, report.clone(), &mut rng);
        let id = BenchmarkId::new("core.evidence", peers);
        add_point("core.evidence", "us", peers, measure(&mut group, id, &driver, run));
    }
    group.finish();
    let mut fits: Vec<LinearFit> = fits.into_values().collect();
    fits.extend([call_keys_state(), evidence_state()]);
    linear_fits::write("almondsail-core control", &fits);
}

criterion_group!(benches, bench);
criterion_main!(benches);
