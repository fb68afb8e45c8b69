//! Backend servers that reset connections when they are full.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::platform::{RawStep, RawWorker};
use eyre::{Result, ensure};
use tokio::task::JoinSet;

use crate::{send, start};

/// Number of requests that a worker runs at a time.
const SLOTS: usize = 12;
/// Number of requests that a worker queues, as on the platform four for each slot.
const QUEUE: usize = 4 * SLOTS;
const RUN_TIME: Duration = Duration::from_millis(60);
const CALLERS: usize = 120;

/// Lets `worker` run requests, and reset the connection of one that it has no room for. Returns the
/// largest number of requests that it has had at a time.
fn reset_when_full(worker: &RawWorker) -> Arc<AtomicUsize> {
    let most = Arc::<AtomicUsize>::default();
    let (seen, most_seen) = (worker.clone(), Arc::clone(&most));
    worker.set_script(move |req| {
        let busy = seen.busy_requests();
        most_seen.fetch_max(busy, Ordering::Relaxed);
        if busy > SLOTS + QUEUE {
            return vec![RawStep::Close];
        }
        vec![RawStep::ReadBody, RawStep::Pause(RUN_TIME), RawStep::Write(req.answer())]
    });
    most
}

/// Sends four requests one after the other from each of [`CALLERS`] callers, which use `clients` in
/// turn. Returns the statuses other than 200 and 503.
async fn send_more_than_fit(clients: &[HttpClient], name: &str) -> Result<Vec<u16>> {
    let mut callers = JoinSet::new();
    for n in 0..CALLERS {
        let (client, name) = (clients[n % clients.len()].clone(), name.to_owned());
        callers.spawn(async move {
            let mut statuses = Vec::new();
            for turn in 0..4 {
                let path = format!("/unsafe/{name}-{n}-{turn}");
                statuses.push(send(&client, &path, &path, "").await?.status.as_u16());
            }
            Ok::<_, eyre::Report>(statuses)
        });
    }
    let mut odd = Vec::new();
    for statuses in callers.join_all().await {
        odd.extend(statuses?.into_iter().filter(|status| !matches!(status, 200 | 503)));
    }
    Ok(odd)
}

// Guards against a request that can't be repeated and meets a full server: its reset connection
// doesn't tell whether the request ran. The load is ten times what the server runs at a time, also
// right after the node beside it was killed, while the server still runs the requests of before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_resets_when_full() -> Result<()> {
    let (mut fleet, workers) = start(&["dc-a"]).await?;
    let most = reset_when_full(&workers[0]);
    let clients = [fleet.caller(0)?, fleet.raw_caller(0)?];
    assert_eq!(send_more_than_fit(&clients, "steady").await?, [0; 0]);
    assert!(most.load(Ordering::Relaxed) <= SLOTS, "{most:?} at a time");
    for round in 0..3 {
        let (before, at_restart) = (clients.clone(), format!("during-{round}"));
        let load = tokio::spawn(async move { send_more_than_fit(&before, &at_restart).await });
        tokio::time::sleep(2 * RUN_TIME).await;
        fleet.restart_raw(0).await?;
        // Requests that the killed node had taken end without an answer.
        let _lost = load.await?;
        let clients = [fleet.caller(0)?, fleet.raw_caller(0)?];
        wait_until("a request that is served", || async {
            let path = format!("/unsafe/restarted-{round}");
            ensure!(send(&clients[1], &path, &path, "").await?.status == 200);
            Ok(())
        })
        .await?;
        assert_eq!(send_more_than_fit(&clients, &format!("after-{round}")).await?, [0; 0]);
    }
    assert!(most.load(Ordering::Relaxed) <= SLOTS + QUEUE, "{most:?} at a time");
    Ok(())
}
