//! Forwarding of calls from an entry node through another node to a backend server.

mod support;

use support::caller::{get, post, request, send};
use support::fake_backend::{FakeBackend, FakeReply};
use support::mesh::{MeshPlan, TestMesh};

/// Starts a fake backend server that answers with the path and body of the request.
async fn echo() -> FakeBackend {
    FakeBackend::start(|req| FakeReply::ok(&[req.path().as_bytes(), b" ", &req.body].concat()))
        .await
}

/// Guards against calls that don't reach a backend server beside another node.
#[tokio::test]
async fn forward_get_and_post_through_two_nodes() {
    let backend = echo().await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    for _ in 0..3 {
        let answer = get(mesh.entry(0), "/read/1?x=2").await.unwrap();
        assert_eq!((answer.status.as_u16(), &answer.body[..]), (200, &b"/read/1?x=2 "[..]));
        assert_eq!(answer.headers["almondsail-version"], "7");
        let answer = post(mesh.entry(0), "/book", b"bay 4").await.unwrap();
        assert_eq!(&answer.body[..], b"/book bay 4");
    }
    assert_eq!(backend.runs(), 6);
    assert_eq!(backend.stats.connections.load(std::sync::atomic::Ordering::SeqCst), 1);
}

/// Guards against a call that is sent over the network to this node's own backend server.
#[tokio::test]
async fn forward_own_backend_in_process() {
    let backend = echo().await;
    let mesh = TestMesh::start(&MeshPlan::new(&[Some(backend.addr)])).await;
    mesh.nodes[0].tasks[1].abort();
    let answer = post(mesh.entry(0), "/book", b"bay 4").await.unwrap();
    assert_eq!(&answer.body[..], b"/book bay 4");
}

/// Guards against internal headers that leak to callers or backend servers, and against
/// forwarded headers that get lost.
#[tokio::test]
async fn forward_headers_removed_and_kept() {
    let backend = echo().await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    let headers = [
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("x-kept", "2"),
        ("te", "trailers"),
        ("almondsail-token", "stolen"),
        ("almondsail-deadline-ms", "700"),
        ("almondsail-attempt", "1"),
        ("idempotency-key", "k-1"),
    ];
    let answer = send(mesh.entry(0), request("POST", "/book", &headers, b"b")).await.unwrap();
    assert_eq!(answer.status, 200);
    for internal in ["almondsail-load", "almondsail-token"] {
        assert!(!answer.headers.contains_key(internal), "{internal}");
    }
    let seen = backend.stats.requests.lock().unwrap()[0].clone();
    for removed in ["x-hop", "te", "almondsail-token", "almondsail-call", "almondsail-route"] {
        assert_eq!(seen.header(removed), None, "{removed}");
    }
    assert_eq!(seen.header("x-kept"), Some("2"));
    assert_eq!(seen.header("idempotency-key"), Some("k-1"));
    assert_eq!(seen.header("almondsail-version"), Some("7"));
    let left: u64 = seen.header("almondsail-deadline-ms").unwrap().parse().unwrap();
    assert!((500..700).contains(&left), "{left}");
}

/// Guards against a wrong verdict when nothing listens at the backend server's address.
#[tokio::test]
async fn forward_backend_down() {
    let backend = echo().await;
    backend.stop();
    tokio::task::yield_now().await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.failure(), ("not-sent", "backend_down"));
    assert_eq!(backend.runs(), 0);
}

/// Guards against a wrong verdict when the node of the endpoint does not listen.
#[tokio::test]
async fn forward_endpoint_down() {
    let backend = echo().await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    mesh.nodes[1].kill();
    tokio::task::yield_now().await;
    let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
    assert_eq!(answer.failure(), ("not-sent", "connect_failed"));
    assert_eq!(backend.runs(), 0);
}

/// Guards against forwarding a call whose path matches no route.
#[tokio::test]
async fn forward_unknown_route() {
    let backend = echo().await;
    let mesh = TestMesh::start(&MeshPlan::new(&[Some(backend.addr)])).await;
    let answer = get(mesh.entry(0), "/elsewhere").await.unwrap();
    assert_eq!(answer.status, 404);
    assert_eq!(answer.failure(), ("refused-unrun", "unknown_route"));
    assert_eq!(backend.runs(), 0);
}

/// Guards against a call refused by the backend server that is reported as run or isn't retried at
/// another endpoint.
#[tokio::test]
async fn forward_shed_then_elsewhere() {
    let busy = FakeBackend::start(|_| FakeReply::shed()).await;
    let mesh = TestMesh::start(&MeshPlan::new(&[Some(busy.addr)])).await;
    for _ in 0..5 {
        let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
        assert_eq!(answer.failure(), ("refused-unrun", "backend_shed"));
    }
    // No connection is reused after a refusal, which could be written again on it.
    assert_eq!(busy.stats.connections.load(std::sync::atomic::Ordering::SeqCst), 5);
    let free = echo().await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(busy.addr), Some(free.addr)])).await;
    for i in 1..=6 {
        let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
        assert_eq!(&answer.body[..], b"/book b");
        assert_eq!(free.runs(), i);
    }
    assert_eq!(busy.runs(), 0);
}

/// Guards against answers without a body that wait for one or lose their `Content-Length`.
#[tokio::test]
async fn forward_answers_without_body() {
    let backend = FakeBackend::start(|req| {
        let no_content = b"HTTP/1.1 204 No Content\r\n\r\n";
        let head_only = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n";
        FakeReply::raw(if req.head.starts_with("HEAD") { head_only } else { no_content })
    })
    .await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    for _ in 0..3 {
        assert_eq!(get(mesh.entry(0), "/read").await.unwrap().status, 204);
        let answer = send(mesh.entry(0), request("HEAD", "/read", &[], b"")).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["content-length"], "7");
    }
    assert_eq!(backend.stats.connections.load(std::sync::atomic::Ordering::SeqCst), 1);
}

/// Guards against a failing backend server that attracts calls by the low latency of its errors.
#[tokio::test]
async fn forward_failing_fast() {
    let failing = FakeBackend::start(|_| {
        FakeReply::raw(&support::fake_backend::answer_bytes("500 Oops", "", b"oops"))
    })
    .await;
    let slower = FakeBackend::start(|_| FakeReply::ok(b"").after(20)).await;
    let plan = MeshPlan::new(&[None, Some(failing.addr), Some(slower.addr)]);
    let mesh = TestMesh::start(&plan).await;
    for _ in 0..40 {
        get(mesh.entry(0), "/read").await.unwrap();
    }
    eprintln!("RUNS {} {}", failing.runs(), slower.runs());
    assert!((1..=20).contains(&failing.runs()), "{}", failing.runs());
}
