//! Tests the caller and its counts against a test backend server, without a mesh.

use almondsail_testkit::backend::{Echo, Execution, Fault, FaultRule, Faults};
use almondsail_testkit::harness::{Binary, Harness, Launch};
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::traffic::{Audit, CallOutcome, CallRequest, CallResults, Caller};
use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

struct Backend {
    _harness: Harness,
    caller: Caller,
    control: HttpClient,
}

impl Backend {
    async fn start() -> Result<Self> {
        let mut harness = Harness::new()?;
        let launch = Launch::new(Binary::Backend, "backend")
            .with_option("listen", harness.any_port().to_string())
            .with_option("service", "bays")
            .with_option("version", "v1");
        let id = harness.start(launch).await?;
        let caller = Caller::new(vec![harness.address(id, "address")?]);
        let control = HttpClient::new(harness.address(id, "control")?);
        Ok(Self { _harness: harness, caller, control })
    }

    async fn set_fault(&self, fault: Fault) -> Result<()> {
        let faults = Faults::of_calls([FaultRule::new("/", fault)]);
        self.control.put("/control/faults", serde_json::to_vec(&faults)?).await?.success()
    }

    async fn results(&self, request: &CallRequest) -> Result<(CallResults, Vec<Execution>)> {
        let mut results = CallResults::default();
        let (outcome, sent) = self.caller.call(0, request).await;
        results.count(request, &outcome, sent);
        Ok((results, self.control.get("/control/executions").await?.json()?))
    }
}

// Guards against counting a successful call as lost or duplicated.
#[tokio::test]
async fn count_answered_call() -> Result<()> {
    let backend = Backend::start().await?;
    let (results, executions) = backend.results(&CallRequest::booking("bays", "c", 1)).await?;
    assert_eq!((results.calls, results.answered, results.lost()), (1, 1, 0));
    assert_eq!(results.answered_keys, ["c-bays-1"]);
    assert!(Audit::of(&results, &executions).is_clean());
    Ok(())
}

// Guards against an audit that misses a call that ran twice.
#[tokio::test]
async fn audit_doubled_call() -> Result<()> {
    let backend = Backend::start().await?;
    backend.set_fault(Fault::RunTwice).await?;
    let (results, executions) = backend.results(&CallRequest::booking("bays", "c", 1)).await?;
    let audit = Audit::of(&results, &executions);
    assert_eq!(audit.duplicated.into_iter().collect::<Vec<_>>(), ["c-bays-1"]);
    Ok(())
}

// Guards against an audit that misses an answered call that did not run.
#[test]
fn audit_unrun_call() {
    let results = CallResults { answered_keys: vec!["c-1".to_owned()], ..CallResults::default() };
    let audit = Audit::of(&results, &[]);
    assert!(!audit.is_clean());
    assert_eq!(audit.answered_not_executed.len(), 1);
}

// Guards against a truncated answer that counts as complete, and a retry of a call
// that may have run.
#[tokio::test]
async fn count_truncated_answer() -> Result<()> {
    let backend = Backend::start().await?;
    backend.set_fault(Fault::Truncate).await?;
    let (results, executions) = backend.results(&CallRequest::booking("bays", "c", 1)).await?;
    assert_eq!((results.lost(), results.retries, executions.len()), (1, 0, 1));
    assert!(results.unanswered.contains_key("broken"), "{results}");
    Ok(())
}

// Guards against accepting the answer to another request.
#[tokio::test]
async fn send_wrong_answer() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let caller = Caller::new(vec![listener.local_addr()?]);
    let echo = Echo {
        service: "bays".to_owned(),
        version: "v1".to_owned(),
        process: 1,
        method: "GET".to_owned(),
        path: "/bays/item?n=2".to_owned(),
        body_sha256: String::new(),
        key: None,
        execution: 1,
    };
    let body = serde_json::to_string(&echo)?;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let _request = stream.read(&mut [0; 4_096]).await?;
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).await
    });
    let outcome = caller.send(0, &CallRequest::lookup("bays", 1)).await;
    server.await??;
    assert!(matches!(outcome, CallOutcome::WrongAnswer(_)), "{outcome:?}");
    Ok(())
}

// Guards against wrong decisions on a retry: only a refused connection proves that the
// call did not run.
#[tokio::test]
async fn send_closed_port() -> Result<()> {
    let mut harness = Harness::new()?;
    let address = harness.reserve_port()?;
    let outcome = Caller::new(vec![address]).send(0, &CallRequest::lookup("bays", 1)).await;
    assert!(matches!(outcome, CallOutcome::NotConnected(_)), "{outcome:?}");
    assert!(outcome.is_safe_to_retry());
    assert!(!CallOutcome::Broken(String::new()).is_safe_to_retry());
    assert!(!CallOutcome::WrongAnswer(String::new()).is_safe_to_retry());
    Ok(())
}
