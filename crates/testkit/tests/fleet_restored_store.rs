//! End-to-end tests of a fleet whose metadata store comes back from an earlier copy.

use std::time::{Duration, Instant};

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::platform::{Fleet, KvMode, KvState};
use eyre::{Result, ensure};
use serde_json::{Value, json};

const SERVICES: [&str; 2] = ["bays", "traslados"];

/// Time limit for a change of the configuration to be in force at every node.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Time limit for the nodes to write again what a restored store lacks.
const REWRITE_LIMIT: Duration = Duration::from_secs(4);
/// Time between a restoration and a change that must be in force in time.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Starts a fleet of two data centres that serves the first service only.
async fn start() -> Result<Fleet> {
    let fleet = Fleet::start(&["dc-a", "dc-b"], &SERVICES).await?;
    fleet.configure(1, &SERVICES[..1]);
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_ready(node).await?;
        fleet.wait_until_served(node, SERVICES[0]).await?;
    }
    Ok(fleet)
}

/// Replaces the store by `copy` while it is away for a moment.
async fn restore(fleet: &Fleet, copy: KvState) {
    fleet.store.set_mode(KvMode::Down);
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.store.edit(|state| state.restore(copy));
    fleet.store.set_mode(KvMode::Up);
}

/// Returns the status of a request for the second service at each node.
async fn statuses(fleet: &Fleet) -> Result<Vec<u16>> {
    let host = format!("{}.example", SERVICES[1]);
    let headers = [("host", host.as_str()), ("almondsail-attempt-id", "probe")];
    let mut statuses = Vec::new();
    for node in 0..fleet.nodes.len() {
        let client = fleet.caller(node)?;
        let reply = client.send(http::Method::GET, "/safe/", Default::default(), &headers).await?;
        statuses.push(reply.status.as_u16());
    }
    Ok(statuses)
}

async fn wait_until_all_answer(fleet: &Fleet, status: u16) -> Result<()> {
    wait_until("the same answer of every node", || async {
        let statuses = statuses(fleet).await?;
        ensure!(statuses.iter().all(|s| *s == status), "the nodes answer {statuses:?}");
        Ok(())
    })
    .await
}

fn rollout_status(fleet: &Fleet) -> Option<Value> {
    let text = fleet.store.edit(|state| state.get("status/rollout/bays"))?;
    serde_json::from_slice(&text).ok()
}

fn order_rollout(fleet: &Fleet, duration_s: f64) {
    let order = json!({"service": "bays", "target_version": "v1", "duration_s": duration_s});
    fleet.store.edit(|state| state.put("op/rollout/bays", order.to_string().as_bytes()));
}

async fn wait_until_completed(fleet: &Fleet) -> Result<()> {
    wait_until("a completed rollout", || async {
        let status = rollout_status(fleet);
        let state = status.as_ref().map(|status| &status["state"]);
        ensure!(state == Some(&json!("completed")), "the status is {status:?}");
        Ok(())
    })
    .await
}

/// Guards against a change that no node takes after a restoration because its revision was given
/// out before, and against an older configuration of the copy that comes into force.
#[tokio::test]
async fn config_changed_after_restoration() -> Result<()> {
    let fleet = start().await?;
    let copy = fleet.store.edit(|state| state.clone());
    // Revisions that the restored store reaches only after some time.
    (2..40).for_each(|version| fleet.configure(version, &SERVICES[..1]));
    fleet.configure(40, &SERVICES);
    wait_until_all_answer(&fleet, 200).await?;
    restore(&fleet, copy).await;
    fleet.configure(40, &SERVICES);
    let restored_at = Instant::now();
    while restored_at.elapsed() < SETTLING_TIME {
        let statuses = statuses(&fleet).await?;
        ensure!(statuses.iter().all(|status| *status == 200), "the nodes answer {statuses:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for (version, services, status) in [(41, &SERVICES[..1], 404), (42, &SERVICES[..], 200)] {
        fleet.configure(version, services);
        let changed_at = Instant::now();
        wait_until_all_answer(&fleet, status).await?;
        let took = changed_at.elapsed();
        ensure!(took < CONFIG_LIMIT, "version {version} is in force after {took:?}");
    }
    Ok(())
}

/// Guards against a node that renews the lease of another, whose id was given out again, and whose
/// own entry is never written again.
#[tokio::test]
async fn entries_after_restoration() -> Result<()> {
    let fleet = Fleet::start(&["dc-a"], &["bays", "traslados", "taller", "cargas"]).await?;
    let entries = || fleet.store.edit(|state| state.keys("almondsail/nodes/"));
    wait_until("an entry of each node", || async {
        ensure!(entries().len() == fleet.nodes.len());
        Ok(())
    })
    .await?;
    let mut copy = KvState::default();
    // Others have leases with the ids that the nodes know.
    for _ in 0..20 {
        copy.open_lease(600_000);
    }
    restore(&fleet, copy).await;
    tokio::time::sleep(REWRITE_LIMIT).await;
    ensure!(entries().len() == fleet.nodes.len(), "the store has only {:?}", entries());
    Ok(())
}

/// Guards against a status that the operator never finds again, and against a rollout that has
/// ended and starts anew because its order was written again. A later order must still start.
#[tokio::test]
async fn rollout_after_restoration() -> Result<()> {
    let fleet = start().await?;
    let copy = fleet.store.edit(|state| state.clone());
    order_rollout(&fleet, 3.0);
    wait_until_completed(&fleet).await?;
    restore(&fleet, copy).await;
    order_rollout(&fleet, 3.0);
    let restored_at = Instant::now();
    while restored_at.elapsed() < REWRITE_LIMIT {
        let status = rollout_status(&fleet);
        let is_begun = status.is_some_and(|status| status["state"] == "running");
        ensure!(!is_begun, "the rollout has started anew");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let status = rollout_status(&fleet);
    ensure!(status.is_some_and(|status| status["state"] == "completed"), "no status");
    order_rollout(&fleet, 4.0);
    wait_until("a rollout that has started", || async {
        let status = rollout_status(&fleet);
        ensure!(status.as_ref().is_some_and(|s| s["state"] == "running"), "{status:?}");
        Ok(())
    })
    .await?;
    wait_until_completed(&fleet).await
}
