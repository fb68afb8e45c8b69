//! Tests rollouts in a mesh of processes.

use almondsail_testkit::backend::{Fault, FaultRule, Faults};
use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::mesh::Mesh;
use almondsail_testkit::traffic::{Audit, Caller, Load, LoadOptions};
use eyre::{Result, ensure};

/// A path below the idempotent route of the service `bays`.
const LOOKUP_PATH: &str = "/bays/item";
/// Number of calls after the rollback; v2 got at least 1% of the calls before it.
const CALLS_AFTER_ROLLBACK: usize = 1_000;

/// Number of steps of a complete rollout.
const ROLLOUT_STEPS: usize = 8;

/// Returns the number of executions at the backend servers of v2, those of every other node.
async fn executions_of_v2(mesh: &Mesh) -> Result<usize> {
    let mut count = 0;
    for index in (1..mesh.nodes().len()).step_by(2) {
        count += mesh.executions_at(index).await?.len();
    }
    Ok(count)
}

// Guards against a rollout that stops or is rolled back when the node that drives it
// dies. Each node is killed once, because any of them may drive the rollout.
#[tokio::test]
async fn rollout_nodes_killed() -> Result<()> {
    let mut mesh = Mesh::builder().versions(&["v1", "v2"]).start().await?;
    mesh.configure(&["bays"]).await?;
    mesh.operator(0)?.run("create version bays/v2").await?;
    mesh.wait_until_served(LOOKUP_PATH).await?;
    let load =
        Load::start(&Caller::new(mesh.caller_addresses()), &LoadOptions::for_services(&["bays"]));
    mesh.operator(0)?.run("move bays to v2 in 30s").await?;
    for index in 0..mesh.nodes().len() {
        mesh.kill_node(index)?;
        mesh.start_node(index).await?;
        mesh.wait_until_served(LOOKUP_PATH).await?;
    }
    let operator = mesh.operator(0)?;
    wait_until("the end of the rollout", || async {
        let shown = operator.run("show rollouts bays").await?;
        ensure!(shown.contains("completed"), "{shown}");
        Ok(())
    })
    .await?;
    let results = load.stop().await?;
    let audit = Audit::of(&results, &mesh.executions()?);
    assert!(audit.is_clean(), "{audit:?}");
    assert_eq!(results.wrong_answers, 0, "{results}");
    let history = operator.run("show history bays").await?;
    let steps = history.lines().filter(|line| line.contains("move bays to v2: share")).count();
    assert_eq!(steps, ROLLOUT_STEPS, "{history}");
    Ok(())
}

// Guards against a failing version that is not rolled back, gets calls after its
// rollback, or is rolled back without showing the operators a reason.
#[tokio::test]
async fn rollout_bad_version() -> Result<()> {
    let mesh = Mesh::builder().versions(&["v1", "v2"]).start().await?;
    mesh.configure(&["bays"]).await?;
    let operator = mesh.operator(0)?;
    operator.run("create version bays/v2").await?;
    mesh.wait_until_served(LOOKUP_PATH).await?;
    let fails = FaultRule::new("/bays", Fault::Fail { per_mille: 1_000 });
    for index in [1, 3] {
        mesh.set_faults(index, &Faults::of_calls([fails.clone()])).await?;
    }
    let load =
        Load::start(&Caller::new(mesh.caller_addresses()), &LoadOptions::for_services(&["bays"]));
    operator.run("move bays to v2 in 1m").await?;
    wait_until("the rollback", || async {
        let shown = operator.run("show rollouts bays").await?;
        ensure!(shown.contains("rolled-back") && shown.contains("fails more often"), "{shown}");
        Ok(())
    })
    .await?;
    load.stop().await?;
    let executions_before = executions_of_v2(&mesh).await?;
    ensure!(executions_before > 0, "v2 got no call before the rollback");
    let client = HttpClient::new(mesh.caller_addresses()[0]);
    for _ in 0..CALLS_AFTER_ROLLBACK {
        client.get(LOOKUP_PATH).await?.success()?;
    }
    assert_eq!(executions_of_v2(&mesh).await?, executions_before);
    Ok(())
}
