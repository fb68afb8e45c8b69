//! Limits on sizes, concurrent calls and times, planned stops, and call counters.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use almondsail_core::peers::{BackendState, PeerStatus};
use almondsail_core::units::{ByteCount, Millis};
use support::caller::{get, post, request, send, send_raw};
use support::fake_backend::{FakeBackend, FakeReply, FakeRequest};
use support::mesh::{MeshPlan, TestMesh, snapshot};
use tokio::io::AsyncWriteExt as _;

const MB: usize = 1024 * 1024;

fn size(req: &FakeRequest) -> FakeReply {
    FakeReply::ok(req.body.len().to_string().as_bytes())
}

async fn entry_and_backend(script: fn(&FakeRequest) -> FakeReply) -> (FakeBackend, TestMesh) {
    let backend = FakeBackend::start(script).await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    (backend, mesh)
}

/// Guards against a body over the limit that reaches a backend server, and one at the limit that
/// doesn't.
#[tokio::test]
async fn body_oversized() {
    let (backend, mesh) = entry_and_backend(size).await;
    let answer = post(mesh.entry(0), "/book", &vec![b'a'; MB]).await.unwrap();
    assert_eq!(answer.body, MB.to_string());
    let answer = post(mesh.entry(0), "/book", &vec![b'a'; MB + 1]).await.unwrap();
    assert_eq!(answer.status, 413);
    assert_eq!(answer.failure(), ("refused-unrun", "body_too_large"));
    assert_eq!(backend.runs(), 1);
}

/// Guards against a chunked body that exceeds the limit, because it declares no length.
#[tokio::test]
async fn body_oversized_chunked() {
    // The endpoint is on the entry node, since a forwarded body has a length.
    let backend = FakeBackend::start(size).await;
    let mesh = TestMesh::start(&MeshPlan::new(&[Some(backend.addr)])).await;
    let mut bytes =
        b"POST /book HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..=16 {
        bytes.extend_from_slice(b"10000\r\n");
        bytes.extend_from_slice(&[b'a'; 0x10000]);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    let answer = String::from_utf8(send_raw(mesh.entry(0), &bytes).await).unwrap();
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert_eq!(backend.runs(), 0);
}

/// Guards against forwarding a header over the node's limit, and one over the HTTP parser's limit.
#[tokio::test]
async fn header_oversized() {
    let (backend, mesh) = entry_and_backend(size).await;
    let fits = "a".repeat(60 * 1024);
    let answer =
        send(mesh.entry(0), request("GET", "/read", &[("x-a", &fits)], b"")).await.unwrap();
    assert_eq!(answer.status, 200);
    let large = "a".repeat(65 * 1024);
    let answer =
        send(mesh.entry(0), request("GET", "/read", &[("x-a", &large)], b"")).await.unwrap();
    assert_eq!(answer.status, 431);
    assert_eq!(answer.failure(), ("refused-unrun", "header_too_large"));
    let larger =
        format!("GET /read HTTP/1.1\r\nHost: a\r\nX-A: {}\r\n\r\n", "a".repeat(300 * 1024));
    let answer = String::from_utf8(send_raw(mesh.entry(0), larger.as_bytes()).await).unwrap();
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431 "), "{answer}");
    assert_eq!(backend.runs(), 1);
}

/// Guards against malformed HTTP that reaches a backend server or keeps a connection open.
#[tokio::test]
async fn http_malformed() {
    let (backend, mesh) = entry_and_backend(size).await;
    let malformed: [&[u8]; 10] = [
        b"nonsense\r\n\r\n",
        b"GET /read HTTP/1.1\r\nHost a\r\n\r\n",
        b"POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        b"POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"POST /book HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /read HTTP/1.1\r\nHost: a\r\nAlmondsail-Deadline-Ms: soon\r\n\r\n",
        b"GET /read HTTP/1.0\r\nHost: a\r\n\r\n",
        b"GET /read/../book HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /read/%2E%2e/book HTTP/1.1\r\nHost: a\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    ];
    for bytes in malformed {
        let answer = String::from_utf8(send_raw(mesh.entry(0), bytes).await).unwrap();
        let is_refused =
            answer.is_empty() || ["HTTP/1.1 4", "HTTP/1.0 4"].iter().any(|s| answer.starts_with(s));
        assert!(is_refused, "{} answered {answer}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(backend.runs(), 0);
}

/// Guards against callers that occupy memory and connections by sending slowly.
#[tokio::test]
async fn caller_slow() {
    let backend = FakeBackend::start(size).await;
    let plan = MeshPlan::new(&[Some(backend.addr)]);
    let mesh = TestMesh::start_with(&plan, |settings| {
        settings.header_timeout = Millis::new(100);
        settings.body_timeout = Millis::new(100);
    })
    .await;
    let started = std::time::Instant::now();
    send_raw(mesh.entry(0), b"GET /read HTTP/1.1\r\nHo").await;
    let answer =
        send_raw(mesh.entry(0), b"POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
            .await;
    assert!(answer.starts_with(b"HTTP/1.1 400 "));
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(backend.runs(), 0);
}

/// Guards against request bodies that together exceed the node's body memory.
#[tokio::test]
async fn body_memory() {
    let backend = FakeBackend::start(size).await;
    let plan = MeshPlan::new(&[Some(backend.addr)]);
    let mesh = TestMesh::start_with(&plan, |settings| {
        settings.body_memory = ByteCount::new(1_000);
    })
    .await;
    let mut slow = tokio::net::TcpStream::connect(mesh.entry(0)).await.unwrap();
    slow.write_all(b"POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 800\r\n\r\n").await.unwrap();
    slow.write_all(&[b'a'; 700]).await.unwrap();
    // Retries, since the node may not have read the slow caller's bytes yet.
    for i in 0.. {
        let answer = post(mesh.entry(0), "/book", &[b'a'; 400]).await.unwrap();
        if answer.failure() == ("refused-unrun", "body_memory") {
            break;
        }
        assert!(i < 100, "the bytes of the slow caller do not count");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(slow);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(post(mesh.entry(0), "/book", &[b'a'; 400]).await.unwrap().status, 200);
}

/// Guards against more concurrent calls than the backend server has slots or connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_never_exceeded() {
    let backend = FakeBackend::start(|req| size(req).after(2)).await;
    let addr = Some(backend.addr);
    let plan = MeshPlan { slots: 3, connections: 2, ..MeshPlan::new(&[addr, None, None]) };
    let mesh = TestMesh::start(&plan).await;
    let calls: Vec<_> =
        (0..60).map(|i| tokio::spawn(post(mesh.entry(i % 3), "/book", b"b"))).collect();
    let mut refused = 0;
    for call in calls {
        let answer = call.await.unwrap().unwrap();
        if answer.status != 200 {
            assert_eq!(answer.failure().0, "refused-unrun");
            refused += 1;
        }
    }
    assert!(backend.stats.most_running.load(Ordering::SeqCst) <= 2);
    assert!(backend.stats.connections.load(Ordering::SeqCst) <= 2);
    assert_eq!(backend.runs() + refused, 60);
    let counts = mesh.nodes[0].traffic.admission_counts();
    assert_eq!((counts.running, counts.queued, counts.ended), (0, 0, backend.runs() as u64));
}

/// Guards against queueing a call that can't end before its deadline.
#[tokio::test]
async fn deadline_too_near() {
    let (backend, mesh) = entry_and_backend(|req| size(req).after(400)).await;
    get(mesh.entry(0), "/read").await.unwrap();
    let busy: Vec<_> = (0..12).map(|_| tokio::spawn(get(mesh.entry(0), "/read"))).collect();
    while backend.runs() < 13 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let hurried = request("GET", "/read", &[("almondsail-deadline-ms", "350")], b"");
    let answer = send(mesh.entry(0), hurried).await.unwrap();
    assert_eq!(answer.failure(), ("refused-unrun", "deadline_too_near"));
    // Refused at once: a call that waited until its deadline counts as cancelled.
    let counts = mesh.nodes[1].traffic.admission_counts();
    assert_eq!((counts.running, counts.refused, counts.cancelled), (12, 1, 0));
    for call in busy {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(backend.runs(), 13);
}

/// Guards against running a call that arrives with no time left.
#[tokio::test]
async fn deadline_zero() {
    let (backend, mesh) = entry_and_backend(size).await;
    let late = request("POST", "/book", &[("almondsail-deadline-ms", "0")], b"b");
    let answer = send(mesh.entry(0), late).await.unwrap();
    assert_eq!(answer.failure(), ("refused-unrun", "deadline_too_near"));
    assert_eq!(backend.runs(), 0);
}

/// Guards against calls that stay queued after the backend server has gone.
#[tokio::test]
async fn backend_gone_while_waiting() {
    let (backend, mut mesh) = entry_and_backend(|req| size(req).after(600)).await;
    let calls: Vec<_> = (0..20).map(|_| tokio::spawn(post(mesh.entry(0), "/book", b"b"))).collect();
    while backend.runs() < 12 || mesh.nodes[1].traffic.admission_counts().queued < 8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    mesh.change_peer(1, |peer| peer.backend = None);
    get(mesh.entry(1), "/read").await.unwrap();
    let counts = mesh.nodes[1].traffic.admission_counts();
    assert_eq!((counts.running, counts.queued, counts.refused), (12, 0, 8));
    let mut refused = 0;
    for call in calls {
        let answer = call.await.unwrap().unwrap();
        if answer.status != 200 {
            assert_eq!(answer.failure(), ("refused-unrun", "backend_down"));
            refused += 1;
        }
    }
    assert_eq!((refused, backend.runs()), (8, 12));
}

/// Guards against queued calls that keep their place or a slot after the caller disconnected.
#[tokio::test]
async fn caller_disconnects_while_waiting() {
    let backend = FakeBackend::start(|req| size(req).after(150)).await;
    let plan = MeshPlan { slots: 1, ..MeshPlan::new(&[None, Some(backend.addr)]) };
    let mesh = TestMesh::start(&plan).await;
    let first = tokio::spawn(post(mesh.entry(0), "/book", b"b"));
    while backend.runs() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let waiting = tokio::spawn(post(mesh.entry(0), "/book", b"b"));
    while mesh.nodes[1].traffic.admission_counts().queued == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    waiting.abort();
    assert_eq!(first.await.unwrap().unwrap().status, 200);
    let counts = mesh.nodes[1].traffic.admission_counts();
    assert_eq!((counts.queued, counts.running, counts.cancelled), (0, 0, 1));
    assert_eq!(post(mesh.entry(0), "/book", b"b").await.unwrap().status, 200);
    assert_eq!(backend.runs(), 2);
}

/// Guards against sending new calls to a backend server that is draining.
#[tokio::test]
async fn backend_draining() {
    let (backend, mut mesh) = entry_and_backend(size).await;
    assert_eq!(post(mesh.entry(0), "/book", b"b").await.unwrap().status, 200);
    let old = mesh.nodes[0].snapshot.load_full();
    mesh.change_peer(1, |peer| {
        peer.backend.as_mut().unwrap().state = BackendState::Draining;
    });
    // The entry node still has the old snapshot.
    mesh.nodes[0].snapshot.store(old);
    let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
    assert_eq!(answer.failure(), ("refused-unrun", "leaving"));
    assert_eq!(backend.runs(), 1);
}

/// Guards against a planned stop that interrupts a call or lets new calls in.
#[tokio::test]
async fn stop_graceful() {
    let (backend, mut mesh) = entry_and_backend(|req| size(req).after(150)).await;
    let calls: Vec<_> =
        (0..6).map(|i| tokio::spawn(post(mesh.entry(i % 2), "/book", b"b"))).collect();
    while backend.runs() < 6 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for i in 0..2 {
        mesh.change_peer(i, |peer| peer.status = PeerStatus::Leaving);
    }
    let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
    assert_eq!(answer.failure(), ("refused-unrun", "leaving"));
    assert_eq!(answer.headers["connection"], "close");
    for node in &mesh.nodes {
        node.stop.send(true).unwrap();
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    // A caller that doesn't know of the stop yet is refused, not disconnected.
    let answer = post(mesh.entry(0), "/book", b"b").await.unwrap();
    assert_eq!(answer.failure(), ("refused-unrun", "leaving"));
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    for task in mesh.nodes.iter_mut().flat_map(|node| node.tasks.drain(..)) {
        tokio::time::timeout(Duration::from_secs(2), task).await.unwrap().unwrap();
    }
    assert_eq!(backend.runs(), 6);
}

/// Guards against accepting calls, claims and handovers at the inbound listener without a valid
/// token.
#[tokio::test]
async fn inbound_unauthorized() {
    let (backend, mesh) = entry_and_backend(size).await;
    for message in ["call", "replay", "claim", "release", "handover"] {
        for token in [None, Some(""), Some("zz"), Some("0123"), Some(&"0".repeat(64)[..])] {
            let mut headers = vec![("almondsail-message", message)];
            headers.extend(token.map(|token| ("almondsail-token", token)));
            let answer = send(mesh.nodes[1].inbound, request("POST", "/book", &headers, b"b"))
                .await
                .unwrap();
            assert_eq!(answer.status, 403);
            assert_eq!(answer.failure(), ("refused-unrun", "peer_unauthorized"));
        }
    }
    assert_eq!(backend.runs(), 0);
}

/// Guards against calls that are not counted, and against labels with text chosen by callers.
#[tokio::test]
async fn counts_drained() {
    // One of the answers has no body.
    let (_backend, mesh) =
        entry_and_backend(
            |req| if req.path() == "/read/2" { FakeReply::ok(b"") } else { size(req) },
        )
        .await;
    let mut readers = [0, 1].map(|i| mesh.nodes[i].traffic.counts_reader());
    for i in 0..5 {
        get(mesh.entry(0), &format!("/read/{i}")).await.unwrap();
    }
    for i in 0..4 {
        get(mesh.entry(0), &format!("/nowhere/{i}")).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let entry = readers[0].read_changes();
    let calls: Vec<u64> = entry.iter().map(|(_, counts)| counts.calls).collect();
    assert_eq!(calls, [4, 5], "{entry:?}");
    assert!(entry[0].0.route.is_none());
    assert_eq!(entry[1].1.latency.iter().sum::<u64>(), 5);
    let server_side = readers[1].read_changes();
    assert_eq!(server_side.iter().map(|(_, counts)| counts.calls).collect::<Vec<_>>(), [5]);
    assert!(readers[0].read_changes().is_empty());
}

/// Guards against counters that accumulate for versions and routes that no longer exist.
#[tokio::test]
async fn counts_dropped() {
    let (_backend, mesh) = entry_and_backend(size).await;
    let mut reader = mesh.nodes[0].traffic.counts_reader();
    get(mesh.entry(0), "/read").await.unwrap();
    let node = &mesh.nodes[0];
    node.snapshot.store(Arc::new(snapshot(&node.peer, None, &[])));
    let answer = get(mesh.entry(0), "/read").await.unwrap();
    assert_eq!(answer.failure(), ("refused-unrun", "no_config"));
    assert_eq!(reader.read_changes().len(), 2);
    get(mesh.entry(0), "/read").await.unwrap();
    assert_eq!(reader.counter_set_count(), 1);
}

/// Guards against call counters that are missing from the exported metrics.
#[tokio::test]
async fn counts_exported() {
    use opentelemetry::metrics::MeterProvider as _;
    let registry = prometheus::Registry::new();
    let exporter =
        opentelemetry_prometheus::exporter().with_registry(registry.clone()).build().unwrap();
    let provider = opentelemetry_sdk::metrics::SdkMeterProvider::builder();
    let provider = provider.with_reader(exporter).build();
    let backend = FakeBackend::start(size).await;
    let plan = MeshPlan::new(&[Some(backend.addr)]);
    let mesh = TestMesh::start_metered(&plan, Some(provider.meter("test"))).await;
    get(mesh.entry(0), "/read").await.unwrap();
    get(mesh.entry(0), "/nowhere").await.unwrap();
    let families = registry.gather();
    let count = |name: &str, label: &str| -> f64 {
        let metrics = families.iter().filter(|f| f.name().starts_with(name));
        metrics
            .flat_map(|family| family.get_metric())
            .filter(|metric| metric.get_label().iter().any(|l| l.value() == label))
            .map(|metric| metric.get_counter().get_value())
            .sum()
    };
    assert_eq!(count("almondsail_calls", "entry"), 2.0);
    assert_eq!(count("almondsail_calls", "door"), 1.0);
    assert_eq!(count("almondsail_call_failures", "unknown_route"), 1.0);
}
