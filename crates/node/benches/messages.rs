//! Measures the bytes on the wire of each message between nodes with its reply.
//!
//! The messages pass through the node's client and server on loopback. Like the node's counter,
//! the byte counts include the frame, its tag and the overhead of tarpc, but no TCP and IP headers.

#[path = "../../core/benches/linear_fits/mod.rs"]
mod linear_fits;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::config::{
    Change, Config, ConfigContent, Delta, HistoryEntry, MAX_HISTORY_ENTRIES, Priority, Route,
    ServerVersion,
};
use almondsail_core::control::{PeerMessage, SyncStatus};
use almondsail_core::ids::{ConfigVersion, Digest, Incarnation, WriteId};
use almondsail_core::peers::{AnnouncedBackend, BackendState, Peer, PeerStatus};
use almondsail_core::report::{AccountingRecord, CallCounts, Minute, Sums};
use almondsail_core::rollout::{CallStats, CellLabel, EvidenceReport, LatencyCounts, Window};
use almondsail_core::units::{Millis, UnixMillis};
use almondsail_node::byte_counts::ByteCounts;
use almondsail_node::peer_link::{ClientPool, FrameSeal, PeerServer};
use almondsail_node::settings::InstallationKey;
use linear_fits::LinearFit;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const WALL: UnixMillis = UnixMillis::new(1_700_000_000_000);
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let fits = runtime.expect("a runtime").block_on(measure_all());
    linear_fits::write("almondsail-node messages", &fits);
}

/// A client and a server of two nodes, connected over loopback.
struct LoopbackLink {
    counts: ByteCounts,
    pool: ClientPool,
    server: SocketAddr,
    /// Queue of the server's replies, one per request.
    replies: mpsc::UnboundedSender<PeerMessage>,
}

impl LoopbackLink {
    async fn start() -> Self {
        let key = InstallationKey::new(&[7; InstallationKey::MIN_BYTES]).expect("long enough");
        let seal = FrameSeal::new(key);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let server = listener.local_addr().expect("an address");
        let (requests, mut incoming) = mpsc::channel(1);
        let (replies, mut next_replies) = mpsc::unbounded_channel();
        let refused = opentelemetry::global::meter("messages").u64_counter("refused").build();
        let service = PeerServer::new(seal.clone(), ByteCounts::default(), requests, refused);
        tokio::spawn(service.listen(listener));
        tokio::spawn(async move {
            while let (Some(request), Some(reply)) =
                (incoming.recv().await, next_replies.recv().await)
            {
                let _ = request.reply.send(reply);
            }
        });
        let counts = ByteCounts::default();
        Self { pool: ClientPool::new(seal, counts.clone()), counts, server, replies }
    }

    /// Returns the bytes of an exchange in both directions. It runs twice and only the second
    /// counts, so that opening the connection is excluded.
    async fn bytes(&self, request: PeerMessage, reply: PeerMessage) -> f64 {
        let mut before = 0;
        for _ in 0..2 {
            before = self.counts.sent() + self.counts.received();
            self.replies.send(reply.clone()).expect("the server runs");
            let answer = self.pool.send(self.server, &request, SEND_TIMEOUT).await;
            assert_eq!(answer.as_ref(), Ok(&reply));
        }
        (self.counts.sent() + self.counts.received() - before) as f64
    }
}

async fn measure_all() -> Vec<LinearFit> {
    let link = LoopbackLink::start().await;
    let ack = || PeerMessage::Ack(ConfigVersion::new(1_000));
    let entries = |count: usize| (0..count).map(peer).collect::<Vec<_>>();
    let mut fits = Vec::new();
    let mut fit = LinearFit::new("wire.ping", "B", "exchanges");
    fit.points
        .push((1.0, link.bytes(PeerMessage::Ping(status()), PeerMessage::Pong(status())).await));
    fits.push(fit);

    let mut fit = LinearFit::new("wire.peer_updates", "B", "entries");
    for count in [1, 2, 8, 32] {
        let bytes = link.bytes(PeerMessage::PeerUpdates(entries(count)), ack()).await;
        fit.points.push((count as f64, bytes));
    }
    fits.push(fit);

    let mut fit = LinearFit::new("wire.buckets_and_entries", "B", "entries");
    for count in [100, 400, 1_400, 2_800] {
        let buckets = PeerMessage::TableBuckets(vec![u64::MAX; 64]);
        let bytes = link.bytes(buckets, PeerMessage::TableEntries(entries(count))).await;
        fit.points.push((count as f64, bytes));
    }
    fits.push(fit);

    let mut fit = LinearFit::new("wire.welcome", "B", "entries");
    for count in [1, 16, 32, 64] {
        let (peers, floor) = (entries(count), ConfigVersion::new(1_000));
        let reply = PeerMessage::Welcome { peers, floor, is_settled: true, status: status() };
        fit.points.push((count as f64, link.bytes(PeerMessage::Join(peer(1)), reply).await));
    }
    fits.push(fit);

    let mut fit = LinearFit::new("wire.config_push", "B", "changed routes");
    for count in [1, 2, 4, 8] {
        let delta = Delta::between(&config(46, 0), &config(46, count));
        let bytes = link.bytes(PeerMessage::ConfigPush(delta), ack()).await;
        fit.points.push((count as f64, bytes));
    }
    fits.push(fit);

    let mut fit = LinearFit::new("wire.config_snapshot", "B", "services");
    for count in [12, 46, 92, 184] {
        let reply = PeerMessage::ConfigSnapshot(Arc::new(config(count, 0)));
        let pull = PeerMessage::ConfigPull(Some(Digest::of(b"held")));
        fit.points.push((count as f64, link.bytes(pull, reply).await));
    }
    fits.push(fit);

    let mut fit = LinearFit::new("wire.evidence", "B", "cells");
    for count in [2, 4, 8, 16] {
        let bytes = link.bytes(PeerMessage::Evidence(evidence(count)), ack()).await;
        fit.points.push((count as f64, bytes));
    }
    fits.push(fit);

    let mut fit = LinearFit::new("wire.accounting", "B", "teams");
    for count in [1, 2, 4, 8] {
        let record = Box::new(accounting(count));
        fit.points.push((count as f64, link.bytes(PeerMessage::Accounting(record), ack()).await));
    }
    fits.push(fit);
    fits
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is a name"))
}

fn status() -> SyncStatus {
    SyncStatus {
        node: peer(1).id,
        incarnation: peer(1).incarnation,
        config_version: ConfigVersion::new(1_000),
        config_digest: Some(Digest::of(b"config")),
        table_digest: u64::MAX / 3,
        stops_digest: u64::MAX / 5,
    }
}

fn peer(index: usize) -> Peer {
    let addr = SocketAddr::from(([10, 1, (index >> 8) as u8, index as u8], 7_000));
    Peer {
        id: parse_name(&format!("node-{index}")),
        host: parse_name(&format!("host-{}", index / 4)),
        data_centre: parse_name(&format!("dc{}", index % 7)),
        region: parse_name(&format!("r{}", index % 2)),
        peer_addr: addr,
        inbound_addr: addr,
        incarnation: Incarnation::new(WALL.get()),
        status: PeerStatus::Alive,
        backend: Some(AnnouncedBackend {
            service: parse_name(&format!("service-{}", index % 46)),
            version: parse_name("v1"),
            slots: 12,
            connections: 130,
            state: BackendState::Ready,
        }),
    }
}

/// Returns a configuration with one route per service, the first `changed` of which have another
/// deadline.
fn config(services: usize, changed: usize) -> Config {
    let mut content = ConfigContent::default();
    for index in 0..services {
        let service: almondsail_core::ids::ServiceName = parse_name(&format!("service-{index}"));
        let route = Route {
            name: parse_name(&format!("route-{index}")),
            service: service.clone(),
            prefix: parse_name(&format!("/service-{index}")),
            priority: Priority::Interactive,
            idempotent: true,
            deadline: Millis::new(if index < changed { 2_000 } else { 1_000 }),
        };
        let version = ServerVersion { service: service.clone(), version: parse_name("v1") };
        for change in [
            Change::CreateService { name: service, team: parse_name("depots") },
            Change::CreateVersion(version),
            Change::CreateRoute(route),
        ] {
            content = change.apply(&content, WALL).expect("the change is valid");
        }
    }
    let version = 1_000 + u64::from(changed > 0);
    let history = (version - MAX_HISTORY_ENTRIES as u64 + 1..=version).map(history_entry);
    Config {
        version: ConfigVersion::new(version),
        write_id: WriteId::new([version as u8; 16]),
        content,
        history: history.collect(),
    }
}

fn history_entry(version: u64) -> HistoryEntry {
    HistoryEntry {
        version: ConfigVersion::new(version),
        write_id: WriteId::new([version as u8; 16]),
        at: WALL,
        service: Some(parse_name("service-0")),
        operator: parse_name("ana"),
        summary: "set the deadline of route route-0 to 2000 ms".into(),
    }
}

/// Returns a report with `cells` windows of one route and one version, without empty buckets.
fn evidence(cells: usize) -> EvidenceReport {
    let latency = LatencyCounts::new([100; LatencyCounts::BUCKETS]);
    let stats = CallStats { calls: 2_800, failures: 0, refused: 0, latency };
    let label = |window: usize| CellLabel {
        window: Window::new(Window::at(WALL).get() + window as u64),
        route: parse_name("route-0"),
        version: parse_name("v1"),
    };
    EvidenceReport {
        service: parse_name("service-0"),
        node: peer(1).id,
        incarnation: peer(1).incarnation,
        sequence: 1_000,
        cells: (0..cells).map(|window| (label(window), stats)).collect(),
    }
}

fn accounting(teams: usize) -> AccountingRecord {
    let mut sums = Sums::default();
    let counts = CallCounts { delivered: 6_857, late: 5, refused: 5, in_doubt: 1 };
    for index in 0..teams {
        sums.teams.insert(parse_name(&format!("team-{index}")), counts);
    }
    AccountingRecord { node: peer(1).id, minute: Minute::at(WALL), covers_minute: true, sums }
}
