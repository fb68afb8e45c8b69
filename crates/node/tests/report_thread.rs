//! Tests of reports from a control thread with a fake store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use almondsail_core::config::{Change, Config, ConfigContent, HistoryEntry};
use almondsail_core::control::{Control, ControlSettings};
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::report::{
    CallCounts, Hour, HourSums, HourValue, Minute, NodeMinutes, ReportQuery, Sums, TeamReport,
};
use almondsail_core::store::{
    Revision, StoreError, StoreReply, StoreRequest, StoredConfig, StoredHour,
};
use almondsail_core::units::{Millis, UnixMillis};
use almondsail_node::byte_counts::ByteCounts;
use almondsail_node::clock::Clock;
use almondsail_node::control::control_request::ControlRequest;
use almondsail_node::control::control_thread::{ControlInputs, ControlParts, ControlThread};
use almondsail_node::control::cost_meter::CostMeter;
use almondsail_node::control::state_log::StateLog;
use almondsail_node::metrics::Metrics;
use almondsail_node::operators::operator_error::OperatorError;
use almondsail_node::peer_link::{ClientPool, FrameSeal};
use almondsail_node::settings::InstallationKey;
use almondsail_node::store_client::StoreClient;
use almondsail_node::{TrafficBuilder, TrafficSettings};
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

/// A store with a configuration. Reads of hourly sums succeed only if `has_hours`.
#[derive(Clone, Default)]
struct FakeStore {
    has_hours: bool,
    hour_reads: Arc<AtomicUsize>,
}

impl StoreClient for FakeStore {
    fn request(&self, request: StoreRequest) -> impl Future<Output = StoreReply> + 'static {
        let store = self.clone();
        async move {
            match request {
                StoreRequest::Read => StoreReply::Value(StoredConfig {
                    revision: Revision::new(1),
                    config: Some(Arc::new(config())),
                }),
                StoreRequest::Watch(_) => std::future::pending().await,
                StoreRequest::ReadHour(key) => {
                    store.hour_reads.fetch_add(1, Ordering::Relaxed);
                    if !store.has_hours {
                        return StoreReply::Failed(StoreError::NoEffect);
                    }
                    StoreReply::Hour(StoredHour {
                        revision: Revision::new(1),
                        value: Some(hour(key.hour)),
                    })
                }
                _ => StoreReply::Failed(StoreError::NoEffect),
            }
        }
    }
}

fn config() -> Config {
    let now = UnixMillis::new(1_000);
    let change =
        Change::CreateService { name: "bays".parse().unwrap(), team: "depots".parse().unwrap() };
    let entry = HistoryEntry {
        version: ConfigVersion::new(1),
        write_id: WriteId::new([7; WriteId::BYTES]),
        at: now,
        service: Some("bays".parse().unwrap()),
        operator: "ana".parse().unwrap(),
        summary: "first".into(),
    };
    let content = change.apply(&ConfigContent::default(), now).unwrap();
    Config::successor(None, content, entry)
}

/// Returns the sums of an hour with one call and one node that reported every minute.
fn hour(hour: Hour) -> HourValue {
    let first = hour.first().get();
    let minute = |n| (Minute::new(first + n), NodeMinutes { expected: 1, received: 1 });
    let counts = CallCounts { delivered: 1, ..CallCounts::default() };
    let sums = Sums { teams: [("depots".parse().unwrap(), counts)].into(), ..Sums::default() };
    let sums = HourSums { minutes: (0..Hour::MINUTES).map(minute).collect(), sums };
    HourValue { sums, writes: Vec::new() }
}

fn parts(store: FakeStore) -> ControlParts<FakeStore> {
    let addr: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let settings = ControlSettings::builder()
        .node("n1".parse().unwrap())
        .host("h1".parse().unwrap())
        .data_centre("dc1".parse().unwrap())
        .region("r1".parse().unwrap())
        .peer_addr(addr)
        .inbound_addr(addr)
        .build()
        .unwrap();
    let clock = Clock::start();
    let control = Control::new(settings, clock.now(), clock.wall());
    let snapshot = Arc::new(ArcSwap::from_pointee(control.snapshot()));
    let traffic = TrafficBuilder::new(snapshot.clone(), TrafficSettings::new(addr))
        .installation_key(&[1; 32])
        .build()
        .unwrap();
    let seal = FrameSeal::new(InstallationKey::new(&[1; 32]).unwrap());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ControlParts {
        control,
        clock,
        clients: ClientPool::new(seal, ByteCounts::default()),
        store,
        log: StateLog::new(log, &Metrics::new().unwrap().meter()),
        snapshot,
        call_counts: traffic.counts_reader(),
        cost: CostMeter::new(ByteCounts::default()),
    }
}

type Answers = Vec<Result<TeamReport, OperatorError>>;

/// Requests the reports of `teams` over the last `hours` from a new control thread, all at the
/// same time.
async fn request_reports(store: FakeStore, hours: u64, teams: &[&str]) -> Answers {
    let (events, control_events) = mpsc::channel(1);
    let (_peers, peer_requests) = mpsc::channel(1);
    let (operators, operator_requests) = mpsc::channel(teams.len());
    let parts = parts(store);
    let wall = parts.clock.wall();
    let thread = ControlThread::run(
        parts,
        ControlInputs {
            events: control_events,
            peers: peer_requests,
            operators: operator_requests,
        },
    );
    let requests = async {
        // Gives the thread time to read the configuration.
        tokio::time::sleep(std::time::Duration::from_secs(6)).await;
        let mut answers = Vec::new();
        for team in teams {
            let (reply, answer) = oneshot::channel();
            let span = Millis::new(hours * 3_600_000);
            let since = UnixMillis::new(wall.get() - span.get());
            let query = ReportQuery { team: team.parse().unwrap(), since };
            operators.send(ControlRequest::Report(query, reply)).await.unwrap();
            answers.push(answer);
        }
        let mut results = Vec::new();
        for answer in answers {
            results.push(answer.await.unwrap());
        }
        drop(events);
        results
    };
    LocalSet::new().run_until(async { tokio::join!(thread, requests).1 }).await
}

/// Guards against a report that omits stored hours, and against concurrent reports that together
/// overload the store with reads.
#[tokio::test]
async fn report_reads_every_hour() {
    let store = FakeStore { has_hours: true, ..FakeStore::default() };
    let reads = Arc::clone(&store.hour_reads);
    let answers = request_reports(store, 100, &["depots", "depots"]).await;
    let report = answers[0].as_ref().unwrap();
    assert!((100..=102).contains(&report.calls.delivered), "{report}");
    assert_eq!(report.calls.delivered, reads.load(Ordering::Relaxed) as u64);
    assert!(report.gaps.is_empty(), "{report}");
    assert_eq!(answers[1], Err(OperatorError::Busy));
}

/// Guards against reporting an unreachable store as a time without calls, and against reads that
/// continue while it is unreachable.
#[tokio::test]
async fn report_store_down() {
    let store = FakeStore::default();
    let reads = Arc::clone(&store.hour_reads);
    let answers = request_reports(store, 700, &["depots"]).await;
    let report = answers[0].as_ref().unwrap();
    assert!(report.gaps.minutes > 0);
    assert_eq!(report.gaps.missing_minutes, report.gaps.minutes);
    assert!(reads.load(Ordering::Relaxed) <= 20, "{reads:?}");
}

/// Guards against an empty report for a team that does not exist.
#[tokio::test]
async fn report_unknown_team() {
    let store = FakeStore { has_hours: true, ..FakeStore::default() };
    let answers = request_reports(store, 1, &["nobody"]).await;
    assert_eq!(answers, [Err(OperatorError::NoReport)]);
}
