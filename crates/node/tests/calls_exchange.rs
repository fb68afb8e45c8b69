//! Exchanges with broken connections, late answers, shared connections and malformed HTTP.

mod support;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use support::caller::{get, post, request, send, send_raw};
use support::fake_backend::{FakeBackend, FakeReply, FakeRequest, FakeStats, answer_bytes};
use support::mesh::{MeshPlan, TestMesh};

const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
    4\r\nbay \r\n3\r\n4 b\r\n0\r\n\r\n";

fn echo_reply(req: &FakeRequest) -> FakeReply {
    FakeReply::ok(&[req.path().as_bytes(), b" ", &req.body].concat())
}

/// Starts a fake backend server whose reply the test sets before each call, and two nodes.
async fn scripted_backend() -> (FakeBackend, TestMesh, Arc<Mutex<FakeReply>>) {
    let reply = Arc::new(Mutex::new(FakeReply::ok(b"")));
    let current = Arc::clone(&reply);
    let backend = FakeBackend::start(move |_| current.lock().unwrap().clone()).await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    (backend, mesh, reply)
}

/// Guards against a truncated answer that a caller can't tell from a complete one, and against a
/// second run of the call after its answer was truncated.
async fn check_answer_cut_at_each_byte(complete: &[u8], body: &[u8]) {
    let (backend, mesh, reply) = scripted_backend().await;
    let head = complete.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    for cut in 0..=complete.len() {
        *reply.lock().unwrap() = FakeReply::raw(&complete[..cut]).closing();
        let answer = post(mesh.entry(0), "/book", b"b").await;
        assert_eq!(backend.runs(), cut + 1);
        match answer {
            Some(answer) if cut == complete.len() => assert_eq!(&answer.body[..], body),
            Some(answer) => {
                assert_eq!(answer.status, 502, "cut at {cut}");
                assert_eq!(answer.failure().0, "may-have-run", "cut at {cut}");
            }
            None => assert!((head..complete.len()).contains(&cut), "cut at {cut}"),
        }
    }
}

#[tokio::test]
async fn answer_cut_with_length() {
    check_answer_cut_at_each_byte(&answer_bytes("200 OK", "X-A: b\r\n", b"bay 4 b"), b"bay 4 b")
        .await;
}

#[tokio::test]
async fn answer_cut_chunked() {
    check_answer_cut_at_each_byte(CHUNKED, b"bay 4 b").await;
}

/// Guards against a wrong verdict and a repeated request when the connection breaks while the
/// request is sent.
#[tokio::test]
async fn request_cut_at_each_byte() {
    let backend = FakeBackend::start(|req| echo_reply(req).closing()).await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    post(mesh.entry(0), "/book", b"bay 4").await.unwrap();
    let length = backend.stats.bytes.load(Ordering::SeqCst);
    assert!(length > 50);
    for cut in 0..length {
        backend.stats.read_limit.store(cut, Ordering::SeqCst);
        let connections = backend.stats.connections.load(Ordering::SeqCst);
        let bytes = backend.stats.bytes.load(Ordering::SeqCst);
        let answer = post(mesh.entry(0), "/book", b"bay 4").await.unwrap();
        let seen = backend.stats.bytes.load(Ordering::SeqCst) - bytes;
        assert_eq!(answer.status, if seen == 0 { answer.status.as_u16() } else { 502 });
        if answer.failure().0 != "may-have-run" {
            assert_eq!((answer.failure().0, seen), ("not-sent", 0), "cut at {cut}");
        }
        assert!(backend.stats.connections.load(Ordering::SeqCst) <= connections + 1);
        assert_eq!(backend.runs(), 1, "cut at {cut}");
    }
}

/// Guards against a late answer that is delivered to the next call, and against a backend server
/// that keeps working on a call whose deadline has passed.
#[tokio::test]
async fn answer_late() {
    let backend = FakeBackend::start(|req| {
        let delay = if req.path().ends_with("slow") { 400 } else { 0 };
        echo_reply(req).after(delay)
    })
    .await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    for i in 0..5 {
        let headers = [("almondsail-deadline-ms", "60")];
        let slow = request("POST", "/book/slow", &headers, b"late");
        let answer = send(mesh.entry(0), slow).await.unwrap();
        assert_eq!(answer.status, 504);
        assert_eq!(answer.failure(), ("may-have-run", "deadline_passed"));
        let path = format!("/book/{i}");
        let answer = post(mesh.entry(0), &path, b"fast").await.unwrap();
        assert_eq!(&answer.body[..], format!("{path} fast").as_bytes());
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(backend.stats.closed_by_peer.load(Ordering::SeqCst), 5);
    assert_eq!(backend.runs(), 10);
}

/// Guards against framing without data, in front of an answer or in its body, that is read until the
/// deadline.
#[tokio::test]
async fn answer_without_data() {
    const FRAMING: usize = 1024 * 1024;
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (start, rest) in [("", "HTTP/1.1 100 Continue\r\n\r\n"), (CHUNKED, "0000000000000000")] {
        let bytes = [start, &rest.repeat(FRAMING / rest.len())].concat();
        let backend = FakeBackend::start(move |_| FakeReply::raw(bytes.as_bytes())).await;
        let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
        let call = request("POST", "/book", &[("almondsail-deadline-ms", "6000")], b"b");
        let started = Instant::now();
        let answer = send(mesh.entry(0), call).await;
        assert!(started.elapsed() < Duration::from_secs(3), "{rest:?}: {:?}", started.elapsed());
        // A head that was passed on is followed by the end of the connection.
        let failure = answer.as_ref().map(|answer| answer.failure());
        assert!(matches!(failure, None | Some(("may-have-run", "bad_answer"))), "{failure:?}");
        assert_eq!(mesh.nodes[1].traffic.admission_counts().running, 0);
    }
}

/// Guards against an earlier refusal, written once more on a kept connection, that is taken for the
/// answer to the next call, which runs.
#[tokio::test]
async fn shed_repeated() {
    let stats: Arc<OnceLock<Arc<FakeStats>>> = Arc::default();
    let counts = Arc::clone(&stats);
    let backend = FakeBackend::start(move |req| {
        let connections =
            counts.get().map_or(0, |counts| counts.connections.load(Ordering::SeqCst));
        match (&req.body[..], connections) {
            (b"refuse", _) => FakeReply::shed(),
            // The refusal's connection is still in use.
            (_, 1) => FakeReply { runs: true, ..FakeReply::shed() },
            _ => echo_reply(req),
        }
    })
    .await;
    stats.get_or_init(|| Arc::clone(&backend.stats));
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    let refused = post(mesh.entry(0), "/book", b"refuse").await.unwrap();
    assert_eq!(refused.failure(), ("refused-unrun", "backend_shed"));
    let answer = post(mesh.entry(0), "/book", b"run").await.unwrap();
    assert_eq!((answer.status.as_u16(), answer.failure(), backend.runs()), (200, ("", ""), 1));
}

/// Guards against answers delivered to the wrong caller when many calls share connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_crossed() {
    const CALLERS: usize = 32;
    const CALLS: usize = 30;
    let script = |req: &FakeRequest| echo_reply(req).after(u64::from(req.body[0] % 4) * 3);
    let (first, second) = (FakeBackend::start(script).await, FakeBackend::start(script).await);
    let plan = MeshPlan::new(&[None, Some(first.addr), Some(second.addr)]);
    let mesh = TestMesh::start(&plan).await;
    let callers = (0..CALLERS).map(|i| {
        let entry = mesh.entry(i % 3);
        tokio::spawn(async move {
            for j in 0..CALLS {
                let (path, body) = (format!("/book/{i}/{j}"), format!("{j} of {i}"));
                let answer = post(entry, &path, body.as_bytes()).await.unwrap();
                assert_eq!(answer.status, 200, "{:?}", answer.failure());
                assert_eq!(answer.body, format!("{path} {body}"));
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
    assert_eq!(first.runs() + second.runs(), CALLERS * CALLS);
}

/// Guards against lost or reordered answers when a caller pipelines requests.
#[tokio::test]
async fn answers_pipelined() {
    let backend = FakeBackend::start(|req| {
        let delay = if req.path().ends_with('0') { 40 } else { 0 };
        echo_reply(req).after(delay)
    })
    .await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    let mut bytes = Vec::new();
    for i in 0..8 {
        let close = if i == 7 { "Connection: close\r\n" } else { "" };
        let request =
            format!("POST /book/{i} HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n{close}\r\nb{i}");
        bytes.extend_from_slice(request.as_bytes());
    }
    let answers = String::from_utf8(send_raw(mesh.entry(0), &bytes).await).unwrap();
    let places: Vec<usize> =
        (0..8).map(|i| answers.find(&format!("\r\n\r\n/book/{i} b{i}")).unwrap()).collect();
    assert!(places.is_sorted(), "{places:?}");
    assert_eq!(backend.runs(), 8);
}

/// Guards against bytes after the end of an answer that are read as part of it or as the next one.
#[tokio::test]
async fn answer_overlong() {
    let (backend, mesh, reply) = scripted_backend().await;
    let complete = answer_bytes("200 OK", "", b"right");
    let empty = answer_bytes("200 OK", "", b"");
    let forged = answer_bytes("200 OK", "", b"wrong");
    let overlong = [
        [&complete[..], b"x"].concat(),
        [&complete[..], &forged].concat(),
        [CHUNKED, &forged].concat(),
        [&empty[..], b"x"].concat(),
        [&empty[..], &forged].concat(),
    ];
    for (i, bytes) in overlong.iter().enumerate() {
        *reply.lock().unwrap() = FakeReply::raw(bytes);
        let answer = post(mesh.entry(0), "/book", b"b").await;
        if let Some(answer) = answer {
            assert_eq!(
                (answer.status.as_u16(), answer.failure().0),
                (502, "may-have-run"),
                "case {i}"
            );
        }
        *reply.lock().unwrap() = FakeReply::raw(&complete);
        let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
        assert_eq!(&answer.body[..], b"right", "case {i}");
    }
    assert_eq!(backend.runs(), 2 * overlong.len());
}

/// Guards against bytes that arrive on an idle connection and are read as the next answer.
#[tokio::test]
async fn answer_unasked() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        for _ in 0..20 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {
                stream.write_all(&answer_bytes("200 OK", "", b"right")).await.unwrap();
                tokio::time::sleep(Duration::from_millis(10)).await;
                let _ = stream.write_all(&answer_bytes("200 OK", "", b"wrong")).await;
            }
        }
    });
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(addr)])).await;
    for _ in 0..10 {
        let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
        assert_eq!(&answer.body[..], b"right");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    server.abort();
}

/// Guards against forwarding an answer without length or chunks, whose truncation can't be detected.
#[tokio::test]
async fn answer_without_length() {
    let (_backend, mesh, reply) = scripted_backend().await;
    *reply.lock().unwrap() = FakeReply::raw(b"HTTP/1.1 200 OK\r\n\r\nbay").closing();
    let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
    assert_eq!(answer.failure(), ("may-have-run", "bad_answer"));
}

/// Guards against retrying a non-idempotent call after its connection broke, and against not
/// retrying an idempotent one.
#[tokio::test]
async fn exchange_broken_retried_if_idempotent() {
    let broken = FakeBackend::start(|_| FakeReply::raw(b"").closing()).await;
    let complete = FakeBackend::start(echo_reply).await;
    let plan = MeshPlan::new(&[None, Some(broken.addr), Some(complete.addr)]);
    let mesh = TestMesh::start(&plan).await;
    let mut failures = 0;
    for _ in 0..12 {
        let runs = broken.runs() + complete.runs();
        let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
        assert_eq!(broken.runs() + complete.runs(), runs + 1);
        failures += usize::from(answer.failure().0 == "may-have-run");
    }
    assert!(failures > 0);
    for _ in 0..8 {
        assert_eq!(get(mesh.entry(0), "/read").await.unwrap().status, 200);
    }
}

/// Guards against a wrong verdict, and against a run, when a backend server stops listening after it
/// has answered a call.
#[tokio::test]
async fn backend_accepts_then_refuses() {
    let backend = FakeBackend::start(echo_reply).await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    post(mesh.entry(0), "/book", b"b").await.unwrap();
    backend.stats.read_limit.store(0, Ordering::SeqCst);
    backend.stop();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
    assert_eq!(answer.failure(), ("not-sent", "backend_down"));
    assert_eq!(backend.runs(), 1);
}

/// Guards against a call that keeps running and holding its slot after its caller disconnected.
#[tokio::test]
async fn caller_disconnects() {
    let backend = FakeBackend::start(|req| echo_reply(req).after(2_000)).await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    let call = tokio::spawn(post(mesh.entry(0), "/book", b"b"));
    while backend.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    call.abort();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(backend.stats.closed_by_peer.load(Ordering::SeqCst), 1);
    let counts = mesh.nodes[1].traffic.admission_counts();
    assert_eq!((counts.running, counts.ended), (0, 1));
}

/// Guards against a wrong verdict when the node of an endpoint dies during a call, and when it
/// accepts connections but doesn't answer.
#[tokio::test]
async fn endpoint_frozen_or_dying() {
    let backend = FakeBackend::start(|req| echo_reply(req).after(500)).await;
    let mut mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    let call = tokio::spawn(post(mesh.entry(0), "/book", b"b"));
    while backend.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    mesh.nodes[1].kill();
    let answer = call.await.unwrap().unwrap();
    assert_eq!(answer.failure(), ("may-have-run", "broken_exchange"));
    let frozen = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    mesh.change_peer(1, |peer| peer.inbound_addr = frozen.local_addr().unwrap());
    let hurried = request("POST", "/book", &[("almondsail-deadline-ms", "100")], b"b");
    let answer = send(mesh.entry(0), hurried).await.unwrap();
    assert_eq!(answer.status, 504);
    assert_eq!(answer.failure(), ("may-have-run", "deadline_passed"));
}
