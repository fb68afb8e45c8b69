//! Backend servers that never answer a request that they can't queue, nor any later one on its
//! connection, and that tell their load.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::{HttpClient, Reply};
use almondsail_testkit::platform::{LateBytes, RawStep, RawWorker};
use eyre::{Result, ensure};
use http::Method;
use tokio::task::JoinSet;

use crate::{send, start};

/// Number of requests that a worker runs at a time.
const SLOTS: usize = 12;
/// Number of requests that a worker queues: as many as a new process of the node may send before the
/// worker's first answer.
const QUEUE: usize = SLOTS / 2;
/// How long a hanging request stays unanswered, longer than any test.
const HANG_TIME: Duration = Duration::from_secs(60);

/// The requests at a worker.
#[derive(Debug, Default)]
struct Load {
    running: AtomicUsize,
    most: AtomicUsize,
    hanging: AtomicUsize,
}

/// Lets `worker` run each request for `run_time` and tell its load, but never answer requests whose
/// path contains `hang`, nor those that it has no room for.
fn hang_when_full(worker: &RawWorker, run_time: Duration) -> Arc<Load> {
    let load = Arc::<Load>::default();
    let shared = Arc::clone(&load);
    worker.set_script(move |req| {
        let load = Arc::clone(&shared);
        let others = load.running.fetch_add(1, Ordering::Relaxed);
        if req.path.contains("hang") || others >= SLOTS + QUEUE {
            load.running.fetch_sub(1, Ordering::Relaxed);
            load.hanging.fetch_add(1, Ordering::Relaxed);
            return vec![RawStep::ReadBody, RawStep::Pause(HANG_TIME)];
        }
        load.most.fetch_max(others + 1, Ordering::Relaxed);
        let req = req.clone();
        let answer = LateBytes::new(move || {
            let others = load.running.fetch_sub(1, Ordering::Relaxed) - 1;
            let (running, waiting) = (others.min(SLOTS), others.saturating_sub(SLOTS));
            let signed = "Almondsail-Server-Signature: s\r\n";
            let told = format!("{signed}Almondsail-Instance-Load: {running},{waiting},{SLOTS}\r\n");
            req.response("200 OK", &told, "ran")
        });
        vec![RawStep::ReadBody, RawStep::Pause(run_time), RawStep::WriteLate(answer)]
    });
    load
}

/// Sends a request that can't be repeated, with a deadline.
async fn send_until(client: &HttpClient, path: &str, deadline: Duration) -> Result<Reply> {
    let deadline = deadline.as_millis().to_string();
    let headers = [
        ("host", "bays.example"),
        ("almondsail-deadline-ms", deadline.as_str()),
        ("almondsail-attempt-id", path),
    ];
    client.send(Method::POST, path, "".into(), &headers).await
}

// Guards against hanging requests that hold the slots of their server until their deadlines: others
// would be refused once as many hang as the server has slots. A hanging request that can't be
// repeated ends at its deadline, and no other may arrive on its connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_of_hanging_requests() -> Result<()> {
    const HANGING: usize = 2 * SLOTS;
    const DEADLINE: Duration = Duration::from_secs(8);
    let (fleet, workers) = start(&["dc-a"]).await?;
    let load = hang_when_full(&workers[0], Duration::from_millis(5));
    let client = fleet.caller(0)?;
    let started = Instant::now();
    let mut hanging = JoinSet::new();
    for n in 0..HANGING {
        let client = client.clone();
        hanging.spawn(
            async move { send_until(&client, &format!("/unsafe/hang-{n}"), DEADLINE).await },
        );
        tokio::time::sleep(Duration::from_millis(30)).await;
        for k in 0..3 {
            let path = format!("/unsafe/run-{n}-{k}");
            let reply = send(&fleet.caller(0)?, &path, &path, "").await?;
            assert_eq!(reply.status, 200, "{path} after {:?}", started.elapsed());
        }
    }
    assert!(started.elapsed() < DEADLINE, "the first hanging requests have ended");
    let found = fleet.raw_metrics(0).await?.sum("fleet_hanging_calls_total");
    assert!(found >= (HANGING - 2) as f64, "{found} found hanging");
    for reply in hanging.join_all().await {
        let status = reply?.status.as_u16();
        assert!(matches!(status, 502 | 504), "{status}");
    }
    assert_eq!(load.hanging.load(Ordering::Relaxed), HANGING, "a request hung behind another one");
    assert!((0..HANGING).all(|n| workers[0].arrivals(&format!("/unsafe/hang-{n}")) == 1));
    Ok(())
}

// Guards against a request that may be repeated and waits for its deadline at a server that tells
// that it does not run it. There is no other server here, so it fails instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hanging_request_moves() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    hang_when_full(&workers[0], Duration::from_millis(5));
    let client = fleet.caller(0)?;
    let started = Instant::now();
    let hanging = tokio::spawn(async move { send(&client, "/safe/hang", "hang", "").await });
    let mut others = 0;
    while !hanging.is_finished() && started.elapsed() < Duration::from_secs(10) {
        let path = format!("/unsafe/run-{others}");
        assert_eq!(send(&fleet.caller(0)?, &path, &path, "").await?.status, 200);
        others += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(started.elapsed() < Duration::from_secs(5), "after {:?}", started.elapsed());
    assert_eq!(hanging.await??.status, 502);
    Ok(())
}

// Guards against a new process of a node that sends a server as many requests as it has slots while
// it still runs those of the killed process: the server would hang requests that can't be repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_restarts_beside_busy_server() -> Result<()> {
    const CALLERS: usize = 40;
    let (mut fleet, workers) = start(&["dc-a"]).await?;
    let mut load = Arc::default();
    for round in 0..2 {
        load = hang_when_full(&workers[0], Duration::from_millis(2_500));
        let mut before = JoinSet::new();
        for n in 0..SLOTS {
            let client = fleet.raw_caller(0)?;
            let path = format!("/unsafe/before-{round}-{n}");
            before.spawn(async move { send(&client, &path, &path, "").await });
        }
        wait_until("a busy server", || async {
            ensure!(load.running.load(Ordering::Relaxed) == SLOTS, "{load:?}");
            Ok(())
        })
        .await?;
        fleet.restart_raw(0).await?;
        before.join_all().await;
        let mut after = JoinSet::new();
        for n in 0..CALLERS {
            let client = if n % 2 == 0 { fleet.caller(0)? } else { fleet.raw_caller(0)? };
            after.spawn(async move {
                let path = format!("/unsafe/after-{round}-{n}");
                wait_until("a request that is not refused", || async {
                    let reply = send(&client, &path, &path, "").await?;
                    ensure!(reply.status != 503, "refused");
                    Ok(reply.status.as_u16())
                })
                .await
            });
        }
        for status in after.join_all().await {
            assert_eq!(status?, 200, "{load:?}");
        }
        assert_eq!(load.hanging.load(Ordering::Relaxed), 0, "{load:?}");
    }
    println!("{load:?}");
    Ok(())
}
