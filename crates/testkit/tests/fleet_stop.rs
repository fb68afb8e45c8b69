//! Tests of requests that are in progress while a node of a fleet stops.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::platform::Fleet;
use eyre::{Result, ensure};
use http::Method;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const SERVICES: [&str; 2] = ["bays", "traslados"];
/// Grace period of a node whose settings name none.
const GRACE_MS: u64 = 6_000;

/// Starts a fleet of one data centre whose workers take `run_time` for a request, and waits until
/// node 0 reaches a server of each service.
async fn start(run_time: Duration) -> Result<Fleet> {
    let fleet = Fleet::start(&["dc-a"], &SERVICES).await?;
    fleet.configure(1, &SERVICES);
    fleet.wait_until_ready(0).await?;
    for service in SERVICES {
        fleet.wait_until_served(0, service).await?;
    }
    fleet.nodes.iter().for_each(|node| node.worker.set_run_time(run_time));
    Ok(fleet)
}

async fn send(stream: &mut TcpStream, id: &str) -> Result<()> {
    let request = format!(
        "GET /safe/ HTTP/1.1\r\nhost: traslados.example\r\nalmondsail-attempt-id: {id}\r\n\
         almondsail-deadline-ms: 15000\r\n\r\n"
    );
    Ok(stream.write_all(request.as_bytes()).await?)
}

/// Reads until the node closes the connection.
async fn read_all(mut stream: TcpStream) -> Result<String> {
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

async fn wait_until_running(fleet: &Fleet, requests: usize) -> Result<()> {
    wait_until("the requests at the server", || async {
        let running = fleet.nodes[1].worker.running_requests();
        ensure!(running == requests, "{running} are running");
        Ok(())
    })
    .await
}

// Guards against a stopping node that closes a connection after its first answer, while servers
// run further requests of that connection.
#[tokio::test]
async fn stop_answers_pipelined_requests() -> Result<()> {
    let mut fleet = start(Duration::from_millis(1_000)).await?;
    let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
    for id in ["p0", "p1", "p2"] {
        send(&mut stream, id).await?;
    }
    wait_until_running(&fleet, 3).await?;
    fleet.request_stop(0)?;
    let answers = read_all(stream).await?;
    for id in ["p0", "p1", "p2"] {
        assert!(answers.contains(&format!("signed-{id}")), "{id} is missing in {answers:?}");
    }
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers:?}");
    assert!(fleet.wait_for_exit(0).await?.success());
    Ok(())
}

// Guards against a stopping node that closes a connection as idle in the moment in which the caller
// sends its next request.
#[tokio::test]
async fn stop_answers_on_idle_connection() -> Result<()> {
    let mut fleet = start(Duration::from_millis(5)).await?;
    let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
    // Longer than an idle connection stays open once the node stops.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let ready = HttpClient::new(fleet.address(0, "ready")?);
    fleet.request_stop(0)?;
    while ready.get("/almondsail/readyz").await?.status == 200 {}
    send(&mut stream, "late").await?;
    let answers = read_all(stream).await?;
    assert!(answers.contains("signed-late"), "{answers:?}");
    assert!(fleet.wait_for_exit(0).await?.success());
    Ok(())
}

// Guards against a stopping node that cuts calls at the end of its grace without an answer.
#[tokio::test]
async fn stop_answers_at_end_of_grace() -> Result<()> {
    let mut fleet = start(Duration::from_millis(60_000)).await?;
    let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
    send(&mut stream, "long").await?;
    wait_until_running(&fleet, 1).await?;
    fleet.request_stop(0)?;
    let answers = read_all(stream).await?;
    assert!(answers.starts_with("HTTP/1.1 502 "), "{answers:?}");
    assert!(answers.contains("almondsail-verdict: may-have-run"), "{answers:?}");
    assert!(fleet.wait_for_exit(0).await?.success());
    Ok(())
}

// Guards against a call that a stopping node takes with a deadline after the end of its grace.
#[tokio::test]
async fn stop_limits_deadlines() -> Result<()> {
    let mut fleet = start(Duration::from_millis(5)).await?;
    let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
    let ready = HttpClient::new(fleet.address(0, "ready")?);
    fleet.request_stop(0)?;
    while ready.get("/almondsail/readyz").await?.status == 200 {}
    send(&mut stream, "during-stop").await?;
    assert!(read_all(stream).await?.contains("signed-during-stop"));
    let executed = fleet.nodes[1].worker.executed_requests();
    let request = executed.iter().find(|request| request.id == "during-stop");
    let deadline = request.map(|request| request.deadline_ms);
    assert!(deadline.is_some_and(|ms| ms < GRACE_MS), "{deadline:?}");
    assert!(fleet.wait_for_exit(0).await?.success());
    Ok(())
}

// Guards against a stop that goes on after the end of its grace, when the platform kills the node.
#[tokio::test]
async fn stop_short_grace() -> Result<()> {
    const GRACE: Duration = Duration::from_secs(2);
    let mut fleet = Fleet::start_with_grace(&["dc-a"], &SERVICES, GRACE).await?;
    fleet.configure(1, &SERVICES);
    fleet.wait_until_ready(0).await?;
    fleet.wait_until_served(0, "traslados").await?;
    fleet.nodes.iter().for_each(|node| node.worker.set_run_time(10 * GRACE));
    let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
    send(&mut stream, "long").await?;
    wait_until_running(&fleet, 1).await?;
    let stopped = Instant::now();
    fleet.request_stop(0)?;
    let answers = read_all(stream).await?;
    assert!(answers.starts_with("HTTP/1.1 502 "), "{answers:?}");
    assert!(fleet.wait_for_exit(0).await?.success());
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    Ok(())
}

// Guards against calls that are lost when the node beside the server stops: those in progress, and
// those sent on a connection between nodes that it closes.
#[tokio::test]
async fn stop_beside_server_loses_no_calls() -> Result<()> {
    const RUN_TIME: Duration = Duration::from_millis(50);
    let mut fleet = start(RUN_TIME).await?;
    let client = fleet.caller(0)?;
    let loads = (0..16).map(|caller: u64| {
        let client = client.clone();
        tokio::spawn(async move {
            let mut statuses = BTreeMap::new();
            let started = Instant::now();
            while started.elapsed() < Duration::from_secs(5) {
                let headers = [("host", "traslados.example"), ("almondsail-attempt-id", "s")];
                let reply = client.send(Method::POST, "/unsafe/", "x".into(), &headers).await?;
                *statuses.entry(reply.status.as_u16()).or_insert(0) += 1;
                // The pauses differ, so that connections become idle at different times.
                tokio::time::sleep(Duration::from_millis(5 + 53 * caller)).await;
            }
            eyre::Ok(statuses)
        })
    });
    let loads: Vec<_> = loads.collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.request_stop(1)?;
    let mut statuses = BTreeMap::new();
    for load in loads {
        for (status, count) in load.await?? {
            *statuses.entry(status).or_insert(0) += count;
        }
    }
    assert!(statuses.keys().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert!(fleet.wait_for_exit(1).await?.success());
    Ok(())
}
