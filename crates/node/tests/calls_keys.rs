//! Repeats of calls with an idempotency key, while nodes run, drain or die.

mod support;

use std::time::Duration;

use support::caller::{CallerAnswer, request, send};
use support::fake_backend::{FakeBackend, FakeReply, FakeRequest};
use support::mesh::{MeshPlan, TestMesh};

fn book(req: &FakeRequest) -> FakeReply {
    FakeReply::ok(&[b"booked ", &req.body[..]].concat())
}

/// Starts three nodes with a backend server each, which all reply by `script`.
async fn three_nodes(script: fn(&FakeRequest) -> FakeReply) -> (Vec<FakeBackend>, TestMesh) {
    let mut backends = Vec::new();
    for _ in 0..3 {
        backends.push(FakeBackend::start(script).await);
    }
    let addrs: Vec<_> = backends.iter().map(|backend| Some(backend.addr)).collect();
    let mesh = TestMesh::start(&MeshPlan::new(&addrs)).await;
    (backends, mesh)
}

fn runs(backends: &[FakeBackend]) -> usize {
    backends.iter().map(FakeBackend::runs).sum()
}

async fn send_key(
    mesh: &TestMesh,
    entry: usize,
    key: &str,
    attempt: &str,
    body: &[u8],
) -> CallerAnswer {
    let headers = [("idempotency-key", key), ("almondsail-attempt", attempt)];
    send(mesh.entry(entry), request("POST", "/book", &headers, body)).await.unwrap()
}

/// Guards against a repeat that runs again through any entry node, and against a repeat that
/// doesn't get the recorded answer.
#[tokio::test]
async fn repeat_answered_from_record() {
    let (backends, mesh) = three_nodes(book).await;
    for i in 0..12 {
        let (key, body) = (format!("key-{i}"), format!("bay {i}"));
        let first = send_key(&mesh, i % 3, &key, "1", body.as_bytes()).await;
        assert_eq!(&first.body[..], format!("booked {body}").as_bytes());
        for entry in 0..3 {
            let repeat = send_key(&mesh, entry, &key, "2", body.as_bytes()).await;
            assert_eq!((repeat.status, &repeat.body), (first.status, &first.body));
        }
        assert_eq!(runs(&backends), i + 1);
    }
}

/// Guards against not recording an answer that has no body.
#[tokio::test]
async fn repeat_of_empty_answer() {
    let (backends, mesh) = three_nodes(|_| FakeReply::ok(b"")).await;
    for _ in 0..3 {
        assert_eq!(send_key(&mesh, 0, "key", "1", b"bay").await.status, 200);
    }
    assert_eq!(runs(&backends), 1);
}

/// Guards against giving a recorded answer to a different request with the same key.
#[tokio::test]
async fn repeat_with_other_body() {
    let (backends, mesh) = three_nodes(book).await;
    send_key(&mesh, 0, "key", "1", b"bay 1").await;
    let other = send_key(&mesh, 1, "key", "1", b"bay 2").await;
    assert_eq!(other.status, 409);
    assert_eq!(other.failure(), ("may-have-run", "repeat_in_doubt"));
    assert_eq!(runs(&backends), 1);
}

/// Guards against a repeat that runs while the first call is still running.
#[tokio::test]
async fn repeat_while_first_runs() {
    let (backends, mesh) = three_nodes(|req| book(req).after(300)).await;
    let headers = [("idempotency-key", "key")];
    let first = tokio::spawn(send(mesh.entry(0), request("POST", "/book", &headers, b"bay 1")));
    while runs(&backends) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for entry in 0..3 {
        let repeat = send_key(&mesh, entry, "key", "2", b"bay 1").await;
        assert_eq!(repeat.failure(), ("may-have-run", "repeat_in_doubt"));
    }
    assert_eq!(first.await.unwrap().unwrap().status, 200);
    assert_eq!(runs(&backends), 1);
}

/// Guards against simultaneous calls with the same key of which more than one runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn repeats_at_once() {
    let (backends, mesh) = three_nodes(|req| book(req).after(5)).await;
    for i in 0..40 {
        let key = format!("key-{i}");
        let headers = [("idempotency-key", key.as_str())];
        let call =
            |entry: usize| send(mesh.entry(entry), request("POST", "/book", &headers, b"bay"));
        let _ = tokio::join!(call(0), call(1), call(2), call(0));
        assert!(runs(&backends) <= i + 1, "key {i} ran more than once");
    }
}

/// Guards against running a repeat after the answer of the first call was truncated.
#[tokio::test]
async fn repeat_after_broken_exchange() {
    let (backends, mesh) = three_nodes(|_| FakeReply::raw(b"HTTP/1.1 200").closing()).await;
    let first = send_key(&mesh, 0, "key", "1", b"bay").await;
    assert_eq!(first.failure(), ("may-have-run", "broken_exchange"));
    for entry in 0..3 {
        let repeat = send_key(&mesh, entry, "key", "2", b"bay").await;
        assert_eq!(repeat.failure(), ("may-have-run", "repeat_in_doubt"));
    }
    assert_eq!(runs(&backends), 1);
}

/// Guards against a call that keeps its key claimed although the backend server refused it.
#[tokio::test]
async fn repeat_after_shed() {
    let (backends, mesh) =
        three_nodes(|req| if req.body == b"shed" { FakeReply::shed() } else { book(req) }).await;
    let first = send_key(&mesh, 0, "key", "1", b"shed").await;
    assert_eq!(first.failure().0, "refused-unrun");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let repeat = send_key(&mesh, 1, "key", "1", b"bay").await;
    assert_eq!(repeat.status, 200);
    assert_eq!(runs(&backends), 1);
}

/// Guards against a call marked as a repeat that runs although the registrars have started too
/// recently to know the first call.
#[tokio::test]
async fn repeat_unknown_to_young_registrars() {
    let (backends, mesh) = three_nodes(book).await;
    let repeat = send_key(&mesh, 0, "key", "2", b"bay").await;
    assert_eq!(repeat.failure(), ("may-have-run", "repeat_in_doubt"));
    assert_eq!(runs(&backends), 0);
}

/// Guards against a key that is forgotten when one of three nodes dies.
#[tokio::test]
async fn repeat_after_loss_of_a_node() {
    for lost in 0..3 {
        let (backends, mut mesh) = three_nodes(book).await;
        send_key(&mesh, (lost + 1) % 3, "key", "1", b"bay").await;
        mesh.nodes[lost].kill();
        mesh.change_peer(lost, |peer| peer.status = almondsail_core::peers::PeerStatus::Dead);
        for entry in (0..3).filter(|&entry| entry != lost) {
            let repeat = send_key(&mesh, entry, "key", "1", b"bay").await;
            assert!(repeat.status == 200 || repeat.failure().0 == "may-have-run");
        }
        assert_eq!(runs(&backends), 1, "node {lost} lost");
    }
}

/// Guards against a call that runs although its key can't be registered, because the registrars are
/// unreachable.
#[tokio::test]
async fn registrars_unreachable() {
    let backend = FakeBackend::start(book).await;
    let gone = [FakeBackend::start(book).await, FakeBackend::start(book).await];
    let plan = MeshPlan::new(&[Some(backend.addr), Some(gone[0].addr), Some(gone[1].addr)]);
    let mesh = TestMesh::start(&plan).await;
    for i in 0..24 {
        let answer = send_key(&mesh, 0, &format!("before-{i}"), "1", b"bay").await;
        assert_eq!(answer.failure(), ("", ""));
    }
    let before = backend.runs();
    assert!(before > 0, "no call reached the endpoint");
    mesh.nodes[1].kill();
    mesh.nodes[2].kill();
    tokio::task::yield_now().await;
    let mut refused = 0;
    for i in 0..24 {
        let answer = send_key(&mesh, 0, &format!("key-{i}"), "1", b"bay").await;
        match answer.failure() {
            ("refused-unrun", "key_registrar_unreachable") => refused += 1,
            other => assert_eq!(other.0, "not-sent", "{other:?}"),
        }
    }
    assert!(refused > 0, "no call arrived at the endpoint");
    assert_eq!(backend.runs(), before);
    assert_eq!(backend.stats.requests.lock().unwrap().len(), before);
}

/// Guards against a key that is forgotten when a node dies, because the set of nodes changed after
/// the claim and only that node is still a registrar that knows it.
#[tokio::test]
async fn repeat_after_drain_and_loss() {
    use almondsail_core::peers::BackendState;

    const KEYS: usize = 40;
    let (backends, mut mesh) = three_nodes(book).await;
    let set_state = |mesh: &mut TestMesh, state| {
        mesh.change_peer(1, |peer| peer.backend.as_mut().unwrap().state = state);
    };
    set_state(&mut mesh, BackendState::Draining);
    for i in 0..KEYS {
        let first = send_key(&mesh, 0, &format!("key-{i}"), "1", b"bay").await;
        assert_eq!(first.status, 200);
    }
    set_state(&mut mesh, BackendState::Ready);
    mesh.nodes[2].kill();
    for i in 0..KEYS {
        send_key(&mesh, i % 2, &format!("key-{i}"), "1", b"bay").await;
    }
    assert_eq!(runs(&backends), KEYS);
}
