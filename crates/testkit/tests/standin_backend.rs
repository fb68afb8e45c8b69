//! Tests the interface of the test backend server in a process of its own.

use std::time::Duration;

use almondsail_testkit::backend::{
    AnnouncementFault, Echo, Execution, ExecutionEnd, Fault, FaultRule, Faults,
};
use almondsail_testkit::harness::{Binary, Harness, Launch, ProcessId, wait_until};
use almondsail_testkit::http::{HttpClient, Reply};
use bytes::Bytes;
use eyre::{Result, ensure};
use http::Method;

struct Backend {
    harness: Harness,
    id: ProcessId,
    calls: HttpClient,
    control: HttpClient,
}

impl Backend {
    async fn start(options: &[(&str, &str)]) -> Result<Self> {
        let mut harness = Harness::new()?;
        let launch = Launch::new(Binary::Backend, "backend")
            .with_option("listen", harness.any_port().to_string())
            .with_option("service", "bays")
            .with_option("version", "v1");
        let launch =
            options.iter().fold(launch, |launch, (name, value)| launch.with_option(name, value));
        let id = harness.start(launch).await?;
        let calls = HttpClient::new(harness.address(id, "address")?);
        let control = HttpClient::new(harness.address(id, "control")?);
        Ok(Self { harness, id, calls, control })
    }

    async fn set_fault(&self, fault: Fault) -> Result<()> {
        let faults = Faults::of_calls([FaultRule::new("/bays", fault)]);
        self.control.put("/control/faults", serde_json::to_vec(&faults)?).await?.success()
    }

    async fn executions(&self) -> Result<Vec<Execution>> {
        self.control.get("/control/executions").await?.json()
    }

    async fn post(&self, key: &str, headers: &[(&str, &str)]) -> Result<Reply> {
        let headers = [&[("idempotency-key", key)], headers].concat();
        self.calls.send(Method::POST, "/bays/7?x=1", Bytes::from_static(b"body"), &headers).await
    }

    /// Waits until the executions have exactly the states `ends`.
    async fn wait_for_ends(&self, ends: &[ExecutionEnd]) -> Result<()> {
        wait_until("the ends of executions", || async {
            let seen: Vec<_> = self.executions().await?.iter().map(|one| one.end).collect();
            ensure!(seen == ends, "{seen:?}");
            Ok(())
        })
        .await
    }
}

// Guards against answers that don't identify their request.
#[tokio::test]
async fn call_echo() -> Result<()> {
    let backend = Backend::start(&[]).await?;
    let echo: Echo = backend.post("k1", &[]).await?.json()?;
    echo.check("POST", "/bays/7?x=1", b"body", Some("k1"))?;
    assert!(echo.check("POST", "/bays/7?x=1", b"other", Some("k1")).is_err());
    let second: Echo = backend.calls.get("/bays").await?.json()?;
    second.check("GET", "/bays", b"", None)?;
    assert_eq!((echo.execution, second.execution), (1, 2));
    let executions = backend.executions().await?;
    assert_eq!(executions[0].key.as_deref(), Some("k1"));
    assert_eq!(executions[1].end, ExecutionEnd::Finished);
    Ok(())
}

// Guards against a backend server without free slots that queues calls above its limit
// or executes calls that it rejects.
#[tokio::test]
async fn call_shed() -> Result<()> {
    let options = [("slots", "1"), ("queue", "0"), ("service-time", "/bays=60000ms")];
    let backend = Backend::start(&options).await?;
    let running = backend.calls.clone();
    let running = tokio::spawn(async move { running.get("/bays/long").await });
    backend.wait_for_ends(&[ExecutionEnd::Running]).await?;
    let shed = backend.calls.get("/other").await?;
    assert_eq!(shed.status, 503);
    assert_eq!(shed.header("almondsail-verdict"), Some("refused-unrun"));
    assert_eq!(backend.executions().await?.len(), 1);

    // The slot is released when the caller closes its connection.
    running.abort();
    backend.wait_for_ends(&[ExecutionEnd::Cancelled]).await?;
    backend.calls.get("/other").await?.success()?;
    Ok(())
}

// Guards against calls that continue after their deadline.
#[tokio::test]
async fn call_deadline_passed() -> Result<()> {
    let backend = Backend::start(&[("service-time", "/bays=60000ms")]).await?;
    let late = backend.post("k", &[("almondsail-deadline-ms", "50")]).await?;
    assert_eq!(late.status, 504);
    assert_eq!(late.header("almondsail-verdict"), Some("may-have-run"));
    backend.wait_for_ends(&[ExecutionEnd::Cancelled]).await?;
    let unrun = backend.post("k", &[("almondsail-deadline-ms", "0")]).await?;
    assert_eq!(unrun.header("almondsail-verdict"), Some("refused-unrun"));
    assert_eq!(backend.executions().await?.len(), 1);
    Ok(())
}

// Guards against fault rules without effect, or with an effect on other paths.
#[tokio::test]
async fn fault_fail_and_truncate() -> Result<()> {
    let backend = Backend::start(&[]).await?;
    backend.set_fault(Fault::Fail { per_mille: 1_000 }).await?;
    assert_eq!(backend.post("k1", &[]).await?.status, 500);
    backend.calls.get("/other").await?.success()?;
    backend.set_fault(Fault::Truncate).await?;
    assert!(backend.post("k2", &[]).await.is_err());
    let ends: Vec<_> = backend.executions().await?.iter().map(|one| one.end).collect();
    let finished = ExecutionEnd::Finished;
    assert_eq!(ends, [ExecutionEnd::Failed, finished, finished]);
    Ok(())
}

// Guards against a duplicate execution that is missing from the execution log.
#[tokio::test]
async fn fault_run_twice() -> Result<()> {
    let backend = Backend::start(&[]).await?;
    backend.set_fault(Fault::RunTwice).await?;
    backend.post("k1", &[]).await?.success()?;
    let keys: Vec<_> = backend.executions().await?.into_iter().map(|one| one.key).collect();
    assert_eq!(keys, [Some("k1".to_owned()), Some("k1".to_owned())]);
    Ok(())
}

// Guards against the fault `Late` that still obeys the deadline, and the fault `Hang`
// that lets calls complete.
#[tokio::test]
async fn fault_late_and_hang() -> Result<()> {
    let backend = Backend::start(&[]).await?;
    backend.set_fault(Fault::Late).await?;
    let started = std::time::Instant::now();
    backend.post("k1", &[("almondsail-deadline-ms", "100")]).await?.success()?;
    assert!(started.elapsed() > Duration::from_millis(100));
    backend.set_fault(Fault::Hang).await?;
    let hung = backend.calls.clone().with_timeout(Duration::from_millis(300));
    assert!(hung.get("/bays").await.is_err());
    backend.wait_for_ends(&[ExecutionEnd::Finished, ExecutionEnd::Cancelled]).await
}

// Guards against connections above the limit that are served, and control requests
// that the limit blocks.
#[tokio::test]
async fn connections_over_limit() -> Result<()> {
    let backend = Backend::start(&[("connections", "1")]).await?;
    let held = tokio::net::TcpStream::connect(backend.calls.address()).await?;
    wait_until("a refused connection", || async {
        ensure!(backend.calls.get("/bays").await.is_err(), "a second connection is served");
        Ok(())
    })
    .await?;
    backend.control.get("/control/executions").await?.success()?;
    drop(held);
    wait_until("a free connection", || async { backend.calls.get("/bays").await?.success() }).await
}

// Guards against a stop that interrupts calls in flight.
#[tokio::test]
async fn stop_call_in_flight() -> Result<()> {
    let mut backend = Backend::start(&[("service-time", "/bays=700ms")]).await?;
    let calls = backend.calls.clone();
    let running = tokio::spawn(async move { calls.get("/bays").await });
    backend.wait_for_ends(&[ExecutionEnd::Running]).await?;
    let status = backend.harness.stop(backend.id).await?;
    assert!(status.success(), "{status}");
    running.await??.json::<Echo>()?.check("GET", "/bays", b"", None)
}

// Guards against a draining process that doesn't tell its node that it leaves.
#[tokio::test]
async fn drain_announced() -> Result<()> {
    let node = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = node.local_addr()?.to_string();
    let mut backend = Backend::start(&[("node", &address)]).await?;
    let first = next_request(&node).await?;
    assert!(first.starts_with("PUT /v1/backend "), "{first}");
    assert!(first.contains(r#""service":"bays","version":"v1","slots":12,"connections":130"#));
    assert!(first.contains(r#""state":"starting","load":0"#), "{first}");
    let second = next_request(&node).await?;
    assert!(second.contains(r#""state":"ready","load":0"#), "{second}");

    backend.control.put("/control/drain", "").await?.success()?;
    while !next_request(&node).await?.starts_with("POST /v1/backend/leave ") {}
    assert!(backend.harness.wait_for_exit(backend.id).await?.success());
    Ok(())
}

// Guards against announcements that ignore the false state and load set by a test.
#[tokio::test]
async fn announce_false_load() -> Result<()> {
    let node = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = node.local_addr()?.to_string();
    let backend = Backend::start(&[("node", &address)]).await?;
    let faults = Faults {
        report: AnnouncementFault { state: Some("draining".to_owned()), load: Some(7), lag_ms: 0 },
        ..Faults::default()
    };
    backend.control.put("/control/faults", serde_json::to_vec(&faults)?).await?.success()?;
    while !next_request(&node).await?.contains(r#""state":"draining","load":7"#) {}
    Ok(())
}

// Guards against a cold start that is not announced or never ends.
#[tokio::test]
async fn announce_cold_start() -> Result<()> {
    let node = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = node.local_addr()?.to_string();
    let _backend = Backend::start(&[("node", &address), ("cold-start", "1500ms")]).await?;
    for _ in 0..2 {
        let early = next_request(&node).await?;
        assert!(early.contains(r#""state":"starting""#), "{early}");
    }
    while !next_request(&node).await?.contains(r#""state":"ready""#) {}
    Ok(())
}

/// Accepts a connection, reads a request with its body and answers it with status 200.
async fn next_request(listener: &tokio::net::TcpListener) -> Result<String> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut stream, _) = listener.accept().await?;
    let mut text = String::new();
    let mut buf = [0; 4_096];
    while !text.contains("\r\n\r\n") || (text.starts_with("PUT") && !text.ends_with('}')) {
        let n = stream.read(&mut buf).await?;
        ensure!(n > 0, "the request breaks off: {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..n]));
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await?;
    Ok(text)
}
