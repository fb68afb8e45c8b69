//! Repeats of calls with an idempotency key after planned restarts and the loss of nodes.

mod support;

use std::sync::Arc;
use std::time::Duration;

use almondsail_core::peers::PeerStatus;
use almondsail_core::units::Millis;
use support::caller::{CallerAnswer, request, send};
use support::fake_backend::{FakeBackend, FakeReply};
use support::mesh::{MeshPlan, TestMesh};

/// How long the test lets nodes hand over claims: several times their `leave_time` of 50 ms.
const SETTLE: Duration = Duration::from_millis(200);
/// The number of new keys sent by each call of [`send_new`].
const KEYS: usize = 12;

/// Starts three nodes with a backend server each, which close their inbound listeners `leave_ms`
/// after a stop was requested.
async fn three_nodes(leave_ms: u64) -> (Vec<FakeBackend>, TestMesh) {
    let mut backends = Vec::new();
    for _ in 0..3 {
        backends.push(FakeBackend::start(|_| FakeReply::ok(b"booked")).await);
    }
    let addrs: Vec<_> = backends.iter().map(|backend| Some(backend.addr)).collect();
    let change = |settings: &mut almondsail_node::TrafficSettings| {
        settings.leave_time = Millis::new(leave_ms);
    };
    let mesh = TestMesh::start_with(&MeshPlan::new(&addrs), change).await;
    (backends, mesh)
}

fn runs(backends: &[FakeBackend]) -> usize {
    backends.iter().map(FakeBackend::runs).sum()
}

/// Sends the call with key `key`, not marked as a repeat.
async fn send_key(mesh: &TestMesh, entry: usize, key: usize) -> CallerAnswer {
    let key = format!("key-{key}");
    let headers = [("idempotency-key", key.as_str())];
    send(mesh.entry(entry), request("POST", "/book", &headers, b"bay")).await.unwrap()
}

/// Sends calls with [`KEYS`] new keys to nodes other than `except`.
async fn send_new(mesh: &TestMesh, except: usize, sent: &mut usize) {
    for i in 0..KEYS {
        let entry = (except + 1 + i % 2) % 3;
        assert_eq!(send_key(mesh, entry, *sent).await.status, 200);
        *sent += 1;
    }
}

/// Guards against a repeat that runs again after a rolling restart when the caller doesn't mark it as
/// a repeat.
#[tokio::test]
async fn repeat_after_rolling_restart() {
    let (backends, mut mesh) = three_nodes(50).await;
    let mut sent = 0;
    send_new(&mesh, 0, &mut sent).await;
    for round in 0..6 {
        let leaving = round % 3;
        let old: Vec<_> = mesh.nodes.iter().map(|node| node.snapshot.load_full()).collect();
        mesh.change_peer(leaving, |peer| peer.status = PeerStatus::Leaving);
        let new: Vec<_> = mesh.nodes.iter().map(|node| node.snapshot.load_full()).collect();
        // The other nodes keep their old snapshots for now and still claim keys at this node.
        for other in (0..3).filter(|other| *other != leaving) {
            mesh.nodes[other].snapshot.store(Arc::clone(&old[other]));
        }
        tokio::time::sleep(SETTLE).await;
        send_new(&mesh, leaving, &mut sent).await;
        for (node, snapshot) in mesh.nodes.iter().zip(new) {
            node.snapshot.store(snapshot);
        }
        mesh.restart(leaving).await;
        send_new(&mesh, leaving, &mut sent).await;
        for key in 0..sent {
            let repeat = send_key(&mesh, key % 3, key).await;
            let known = repeat.failure() == ("may-have-run", "repeat_in_doubt");
            assert!(repeat.status == 200 || known, "{:?}", repeat.failure());
        }
        assert_eq!(runs(&backends), sent, "after round {round}");
    }
}

/// Guards against claims that are lost when the inbound listener closes before the first scan for
/// claims to hand over.
#[tokio::test]
async fn repeat_after_restarts_at_once() {
    let (backends, mut mesh) = three_nodes(0).await;
    let mut sent = 0;
    for leaving in [0, 1, 2, 0, 1, 2] {
        send_new(&mesh, leaving, &mut sent).await;
        mesh.change_peer(leaving, |peer| peer.status = PeerStatus::Leaving);
        mesh.restart(leaving).await;
    }
    for key in 0..sent {
        let repeat = send_key(&mesh, key % 3, key).await;
        let known = repeat.failure() == ("may-have-run", "repeat_in_doubt");
        assert!(repeat.status == 200 || known, "{:?}", repeat.failure());
    }
    assert_eq!(runs(&backends), sent);
}

/// Guards against a repeat that runs, or isn't refused as in doubt, when the node with the recorded
/// answer has died or restarted.
#[tokio::test]
async fn repeat_without_holder() {
    for is_restarted in [false, true] {
        let (backends, mut mesh) = three_nodes(50).await;
        assert_eq!(send_key(&mesh, 0, 0).await.status, 200);
        let holder = backends.iter().position(|backend| backend.runs() == 1).unwrap();
        if is_restarted {
            mesh.change_peer(holder, |peer| peer.status = PeerStatus::Leaving);
            mesh.restart(holder).await;
        } else {
            mesh.nodes[holder].kill();
            mesh.change_peer(holder, |peer| peer.status = PeerStatus::Dead);
        }
        for entry in (0..3).filter(|entry| *entry != holder) {
            let repeat = send_key(&mesh, entry, 0).await;
            assert_eq!(repeat.failure(), ("may-have-run", "repeat_in_doubt"));
        }
        assert_eq!(runs(&backends), 1);
    }
}
