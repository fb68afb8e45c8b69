//! Rollouts in a mesh of processes.

use almondsail_testkit::backend::{Fault, FaultRule, Faults};
use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::mesh::Mesh;
use almondsail_testkit::traffic::{Audit, Caller, Load, LoadOptions};
use eyre::{Result, ensure};

/// The path of the idempotent route.
const LOOKUP_PATH: &str = "/bays/item";
/// Calls after the rollback; v2 had at least 1% of the calls before.
const CALLS_AFTER_ROLLBACK: usize = 1_000;

/// Steps of a rollout that nothing cuts short.
const ROLLOUT_STEPS: usize = 8;

/// The executions at the backend servers of v2, which are those beside every other node.
async fn executions_of_v2(mesh: &Mesh) -> Result<usize> {
    let mut count = 0;
    for index in (1..mesh.nodes().len()).step_by(2) {
        count += mesh.executions_at(index).await?.len();
    }
    Ok(count)
}

// Guards against a rollout that stops, or is undone, when the node that drives it dies.
// Each node is killed once, because any of them may drive.
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

// Guards against a bad version that stays in force, gets calls after its
// rollback, or is rolled back without a reason for the operators.
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
