//! Evacuations of data centres and cold servers in a fleet of processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::mesh::Metrics;
use almondsail_testkit::platform::{Fleet, Worker, WorkerFault};
use eyre::{Result, ensure};
use http::Method;
use tokio::task::JoinHandle;

const SERVICES: [&str; 1] = ["bays"];
/// Time within which calls stop to reach an evacuated data centre.
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);
/// Calls per second that a cold worker bears, and how many may arrive in any second.
const COLD_PER_S: f64 = 6.4;
const MAX_COLD_CALLS: usize = 17;

/// Starts a fleet of two data centres with one node each, and waits until the nodes know each other.
async fn start() -> Result<Fleet> {
    let fleet = Fleet::start(&["dc-a", "dc-b"], &SERVICES).await?;
    fleet.configure_cold(1, &SERVICES, COLD_PER_S);
    for node in 0..2 {
        fleet.wait_until_ready(node).await?;
        fleet.wait_until_served(node, "bays").await?;
    }
    fleet.wait_until_joined().await?;
    Ok(fleet)
}

async fn call(caller: &HttpClient, id: &str) -> Result<(u16, String)> {
    let headers = [("host", "bays.example"), ("almondsail-attempt-id", id)];
    let reply = caller.send(Method::GET, "/safe/", Default::default(), &headers).await?;
    let reason = reply.header("almondsail-reason").unwrap_or_default().to_owned();
    Ok((reply.status.as_u16(), reason))
}

/// Makes calls one after the other until `stop`. Returns the reasons of those that were refused.
fn call_repeatedly(caller: HttpClient, stop: Arc<AtomicBool>) -> JoinHandle<Result<Vec<String>>> {
    tokio::spawn(async move {
        let mut refused = Vec::new();
        let mut n = 0;
        while !stop.load(Ordering::Relaxed) {
            n += 1;
            match call(&caller, &format!("load-{n}")).await {
                Ok((200, _)) => {}
                Ok((status, reason)) => refused.push(format!("{status} {reason}")),
                // The node is being restarted.
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        Ok(refused)
    })
}

/// Forwards a call to node 0, like an entry node that does not know of an evacuation. Returns the
/// failure that the node reports.
async fn forwarded(fleet: &Fleet) -> Result<String> {
    let hop = "bays i-dc-a-bays bays-safe 1 5000 2000 2000 bays";
    let headers = [("almondsail-hop", hop), ("almondsail-attempt-id", "forwarded")];
    let node = HttpClient::new(fleet.address(0, "nodes")?);
    let reply = node.send(Method::GET, "/safe/", Default::default(), &headers).await?;
    Ok(reply.header("almondsail-failure").unwrap_or_default().to_owned())
}

/// Returns how often the server beside node 0 became cold or warm.
async fn warmth_changes(fleet: &Fleet) -> Result<f64> {
    let reply = HttpClient::new(fleet.address(0, "metrics")?).get("/metrics").await?;
    let metrics = Metrics::parse(&String::from_utf8_lossy(&reply.body))?;
    Ok(metrics.sum_with("fleet_changes_total", "backend_cold"))
}

fn executed(worker: &Worker) -> usize {
    worker.executed_requests().len()
}

// Guards against calls that reach an evacuated data centre, running calls that are cut, refusals
// while another data centre has servers, and a withdrawal that nobody follows.
#[tokio::test]
async fn evacuate_and_withdraw() -> Result<()> {
    let fleet = start().await?;
    let worker = &fleet.nodes[0].worker;
    worker.set_run_time(Duration::from_millis(4_500));
    let caller = fleet.caller(0)?;
    let mut running = Vec::new();
    while worker.running_requests() == 0 {
        let caller = fleet.caller(0)?;
        running.push(tokio::spawn(async move { call(&caller, "running").await }));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    worker.set_run_time(Duration::from_millis(5));
    let stop = Arc::new(AtomicBool::new(false));
    let load = call_repeatedly(fleet.caller(0)?, Arc::clone(&stop));
    let ordered = Instant::now();
    fleet.evacuate("dc-a", true);
    tokio::time::sleep_until((ordered + EVACUATION_LIMIT).into()).await;
    let before = executed(worker);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(executed(worker), before);
    assert_eq!(forwarded(&fleet).await?, "refused-unrun evacuated false 1000000");
    for call in running {
        assert_eq!(call.await??.0, 200);
    }
    fleet.evacuate("dc-b", true);
    tokio::time::sleep(EVACUATION_LIMIT).await;
    stop.store(true, Ordering::Relaxed);
    let refused = load.await??;
    assert!(refused.iter().all(|refusal| refusal == "503 evacuated"), "{refused:?}");
    assert!(!refused.is_empty());
    fleet.evacuate("dc-a", false);
    wait_until("calls to the data centre", || async {
        call(&caller, "after").await?;
        ensure!(executed(worker) > before, "none arrived");
        Ok(())
    })
    .await
}

// Guards against more calls to a cold server than it bears, also while the node beside it is killed
// and started again, and after a reset connection; and against a limit that stays.
#[tokio::test]
async fn cold_server_with_restart() -> Result<()> {
    let mut fleet = start().await?;
    fleet.nodes[0].worker.set_cold(Duration::from_secs(60));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut loads = Vec::new();
    for n in 0..8 {
        loads.push(call_repeatedly(fleet.caller(n % 2)?, Arc::clone(&stop)));
    }
    let worker = fleet.nodes[0].worker.clone();
    let arrivals = tokio::spawn({
        let stop = Arc::clone(&stop);
        async move {
            let mut counts = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                counts.push((Instant::now(), executed(&worker)));
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            counts
        }
    });
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    fleet.kill(0)?;
    fleet.restart(0).await?;
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    stop.store(true, Ordering::Relaxed);
    for load in loads {
        load.await??;
    }
    let counts = arrivals.await?;
    let in_second = |(n, (at, count)): (usize, &(Instant, usize))| {
        let later = counts[n..].iter().take_while(|(t, _)| *t < *at + Duration::from_secs(1));
        later.map(|(_, last)| last - count).max().unwrap_or_default()
    };
    let most = counts.iter().enumerate().map(in_second).max().unwrap_or_default();
    let all = counts[counts.len() - 1].1 - counts[0].1;
    assert!(most <= MAX_COLD_CALLS && most > 0, "{most} calls in a second, {all} in all");
    fleet.nodes[0].worker.set_cold(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let caller = fleet.caller(0)?;
    let before = executed(&fleet.nodes[0].worker);
    for n in 0..40 {
        call(&caller, &format!("warm-{n}")).await?;
    }
    assert!(executed(&fleet.nodes[0].worker) > before + 20);
    let changes = warmth_changes(&fleet).await?;
    fleet.nodes[0].worker.set_fault(WorkerFault::LosesAnswers);
    wait_until("a server that closes connections and counts as cold", || async {
        call(&caller, "lost").await?;
        ensure!(warmth_changes(&fleet).await? > changes, "it counts as warm");
        Ok(())
    })
    .await
}
