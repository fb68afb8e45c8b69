//! End-to-end test of a fleet whose metadata store gives no response for some time.

use std::time::{Duration, Instant};

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::platform::{Fleet, KvMode};
use eyre::{Result, ensure};
use http::Method;

const SERVICES: [&str; 2] = ["bays", "traslados"];
/// How long the store gives no response.
const SILENCE: Duration = Duration::from_millis(4_500);
/// Time between the end of the silence and the next change.
const QUIET_TIME: Duration = Duration::from_secs(4);
/// Time limit for a change to be in force at every node.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);

/// Waits until each node answers a request for the second service with `status`.
async fn wait_until_all_answer(fleet: &Fleet, status: u16) -> Result<()> {
    let host = format!("{}.example", SERVICES[1]);
    let headers = [("host", host.as_str()), ("almondsail-attempt-id", "probe")];
    wait_until("the same answer of every node", || async {
        for node in 0..fleet.nodes.len() {
            let client = fleet.caller(node)?;
            let reply = client.send(Method::GET, "/safe/", Default::default(), &headers).await?;
            ensure!(reply.status == status, "node {node} answers {}", reply.status);
        }
        Ok(())
    })
    .await
}

/// Guards against watches that are sent into a silence of the store and waited for long after it, so
/// that no node takes a change that is made in a quiet time.
#[tokio::test]
async fn config_changed_after_silence() -> Result<()> {
    let fleet = Fleet::start(&["dc-a", "dc-b"], &SERVICES).await?;
    fleet.configure(1, &SERVICES[..1]);
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_ready(node).await?;
        fleet.wait_until_served(node, SERVICES[0]).await?;
    }
    // All watches end with this change, and the next ones are sent into the silence.
    fleet.configure(2, &SERVICES);
    wait_until_all_answer(&fleet, 200).await?;
    fleet.store.set_mode(KvMode::Silent);
    tokio::time::sleep(SILENCE).await;
    fleet.store.set_mode(KvMode::Up);
    tokio::time::sleep(QUIET_TIME).await;
    fleet.configure(3, &SERVICES[..1]);
    let changed_at = Instant::now();
    wait_until_all_answer(&fleet, 404).await?;
    let took = changed_at.elapsed();
    ensure!(took < CONFIG_LIMIT, "the change is in force after {took:?}");
    Ok(())
}
