//! Many calls with random faults: compares what callers are told with what ran.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use almondsail_core::peers::{BackendState, PeerStatus};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use support::caller::{CallerAnswer, request, send};
use support::fake_backend::{FakeBackend, FakeReply, FakeRequest, answer_bytes};
use support::mesh::{MeshPlan, TestMesh};

const CALLERS: usize = 6;
const CALLS: usize = 60;

/// Returns the last byte of a call's body, which selects its fault, so that each attempt meets the
/// same one.
fn fault(body: &[u8]) -> u8 {
    body.last().copied().unwrap_or(0)
}

fn script(req: &FakeRequest) -> FakeReply {
    let complete = FakeReply::ok(&[b"ran ", &req.body[..]].concat());
    match fault(&req.body) {
        b'0' => FakeReply::shed(),
        b'1' => FakeReply::raw(b"").closing(),
        b'2' => FakeReply::raw(&complete.bytes[..complete.bytes.len() - 3]).closing(),
        b'3' => complete.after(250),
        b'4' => FakeReply::raw(&[&complete.bytes[..], b"surplus"].concat()),
        b'5' => FakeReply::raw(&answer_bytes("500 Oops", "", b"failed")),
        n => complete.after(u64::from(n % 4)),
    }
}

/// The answers that a caller received for a call and its repeats.
struct CallReport {
    body: String,
    answers: Vec<Option<CallerAnswer>>,
}

async fn caller(i: usize, entries: Vec<std::net::SocketAddr>, seed: u64) -> Vec<CallReport> {
    let mut rng = SmallRng::seed_from_u64(seed + i as u64);
    let mut reports = Vec::new();
    for j in 0..CALLS {
        let body = format!("{i}-{j}-{}", rng.random_range(0..10));
        let key = format!("key-{i}-{j}");
        let mut headers = vec![("almondsail-deadline-ms", "200")];
        let repeats = if rng.random_bool(0.5) {
            headers.push(("idempotency-key", &key));
            2
        } else {
            0
        };
        let mut answers = Vec::new();
        for _ in 0..=repeats {
            let entry = entries[rng.random_range(0..entries.len())];
            answers.push(send(entry, request("POST", "/book", &headers, body.as_bytes())).await);
        }
        reports.push(CallReport { body, answers });
    }
    reports
}

/// Counts how often a call with each body ran.
fn runs(backends: &[FakeBackend]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for backend in backends {
        for request in backend.stats.requests.lock().unwrap().iter() {
            if fault(&request.body) != b'0' {
                let body = String::from_utf8(request.body.clone()).unwrap();
                *runs.entry(body).or_insert(0) += 1;
            }
        }
    }
    runs
}

fn check(report: &CallReport, runs: usize) {
    assert!(runs <= 1, "{} ran {runs} times", report.body);
    let mut is_unrun = true;
    for answer in report.answers.iter().flatten() {
        match answer.failure() {
            ("", "") if answer.status == 500 => assert_eq!(&answer.body[..], b"failed"),
            ("", "") => assert_eq!(answer.body, format!("ran {}", report.body)),
            ("may-have-run", _) => {}
            ("not-sent" | "refused-unrun", _) => continue,
            other => panic!("{other:?}"),
        }
        is_unrun = false;
    }
    let is_certain = report.answers.iter().all(Option::is_some) && is_unrun;
    assert!(!is_certain || runs == 0, "{} ran, but was reported as unrun", report.body);
}

/// Guards against a second run, a wrong verdict and another call's answer while answers are
/// truncated, calls are refused, a backend server drains and a node dies.
async fn check_random(seed: u64) {
    let mut backends = Vec::new();
    for _ in 0..3 {
        backends.push(FakeBackend::start(script).await);
    }
    let addrs: Vec<_> = backends.iter().map(|b| Some(b.addr)).chain([None]).collect();
    let plan = MeshPlan { slots: 3, ..MeshPlan::new(&addrs) };
    let mut mesh = TestMesh::start(&plan).await;
    let entries = vec![mesh.entry(0), mesh.entry(1), mesh.entry(3)];
    let callers: Vec<_> =
        (0..CALLERS).map(|i| tokio::spawn(caller(i, entries.clone(), seed))).collect();
    tokio::time::sleep(Duration::from_millis(400)).await;
    for state in [BackendState::Draining, BackendState::Ready] {
        mesh.change_peer(1, |peer| peer.backend.as_mut().unwrap().state = state);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    mesh.nodes[2].kill();
    tokio::time::sleep(Duration::from_millis(300)).await;
    mesh.change_peer(2, |peer| peer.status = PeerStatus::Dead);
    let mut reports = Vec::new();
    for caller in callers {
        reports.extend(caller.await.unwrap());
    }
    let runs = runs(&backends);
    for report in &reports {
        check(report, runs.get(&report.body).copied().unwrap_or(0));
    }
    let is_complete =
        |answer: &Option<CallerAnswer>| answer.as_ref().is_some_and(|a| a.status == 200);
    let complete = reports.iter().filter(|report| report.answers.iter().any(is_complete)).count();
    assert!(complete > CALLERS * CALLS / 4, "only {complete} calls were answered");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_faults_first_seed() {
    check_random(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_faults_second_seed() {
    check_random(1_000).await;
}
