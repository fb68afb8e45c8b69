//! Quotas of teams over a fleet of node processes.

use std::time::{Duration, Instant};

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::{HttpClient, Reply};
use almondsail_testkit::mesh::Metrics;
use almondsail_testkit::platform::{ConfigDocument, Fleet};
use eyre::{OptionExt as _, Result, ensure};
use http::Method;
use serde_json::{Value, json};

const SERVICES: [&str; 2] = ["bays", "traslados"];
const NODES: usize = 4;
/// The quota of the team `limited`: calls per second, and burst.
const RATE: f64 = 10.0;
const BURST: f64 = 10.0;

fn team(name: &str, rate: f64, burst: f64) -> Value {
    json!({
        "type": "tenants", "metadata": {"name": name},
        "spec": {
            "api_keys": [format!("key-{name}")], "priority": 1,
            "rate_per_s": rate, "burst": burst,
        },
    })
}

async fn send(client: &HttpClient, team: &str) -> Result<Reply> {
    let key = format!("Token key-{team}");
    let headers =
        [("host", "bays.example"), ("almondsail-attempt-id", "q"), ("authorization", &*key)];
    client.send(Method::GET, "/safe/", Default::default(), &headers).await
}

/// Starts a fleet with the teams `limited` and `unlimited`, which all nodes know.
async fn start() -> Result<Fleet> {
    let fleet = Fleet::start(&["dc-a", "dc-b"], &SERVICES).await?;
    let document = ConfigDocument::new(1, &SERVICES)
        .resource(team("limited", RATE, BURST))
        .resource(team("unlimited", 0.0, 0.0));
    fleet.write_config(&document);
    for node in 0..NODES {
        fleet.wait_until_ready(node).await?;
    }
    fleet.wait_until_joined().await?;
    for node in 0..NODES {
        let client = fleet.caller(node)?;
        wait_until("an answer", || async {
            let reply = send(&client, "unlimited").await?;
            ensure!(reply.status == 200, "the node answers {}", reply.status);
            Ok(())
        })
        .await?;
    }
    Ok(fleet)
}

async fn granted(fleet: &Fleet, node: usize) -> Result<f64> {
    let reply = HttpClient::new(fleet.address(node, "metrics")?).get("/metrics").await?;
    let metrics = Metrics::parse(&String::from_utf8_lossy(&reply.body))?;
    Ok(metrics.sum("fleet_quota_granted_total"))
}

/// Returns the largest number of calls that the quota allows within `span`, with the tolerances.
fn bound(span: Duration) -> f64 {
    (RATE * span.as_secs_f64() + BURST) * 1.1 + 20.0
}

/// Guards against a team that exceeds its quota by calling several nodes, against refusals that
/// don't say when to come back, and against refusals of another team's calls.
#[tokio::test]
async fn quota_exceeded_over_nodes() -> Result<()> {
    let fleet = start().await?;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for node in 0..NODES {
        let client = fleet.caller(node)?;
        tasks.push(tokio::spawn(async move {
            let (mut served, mut refused) = (0, 0);
            while started.elapsed() < Duration::from_secs(3) {
                let reply = send(&client, "limited").await?;
                match reply.status.as_u16() {
                    200 => served += 1,
                    429 => {
                        let wait = reply.header("retry-after").ok_or_eyre("no Retry-After")?;
                        ensure!(wait.parse::<f64>()? > 0.0, "Retry-After: {wait}");
                        refused += 1;
                    }
                    other => eyre::bail!("node {node} answers {other}: {:?}", reply.headers),
                }
                let reply = send(&client, "unlimited").await?;
                ensure!(reply.status == 200, "unlimited team: {}", reply.status);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            Ok((served, refused))
        }));
    }
    let (mut served, mut refused) = (0, 0);
    for task in tasks {
        let counts: (u32, u32) = task.await??;
        served += counts.0;
        refused += counts.1;
    }
    let took = started.elapsed();
    assert!(f64::from(served) < bound(took), "{served} calls served in {took:?}");
    assert!(f64::from(served) > RATE * 2.0, "only {served} calls served in {took:?}");
    assert!(refused > 50, "only {refused} calls refused");
    Ok(())
}

/// Guards against a team whose calls fail for longer than its owner's death takes to be noticed, and
/// against an owner that takes over with a full burst.
#[tokio::test]
async fn quota_owner_killed() -> Result<()> {
    let mut fleet = start().await?;
    send(&fleet.caller(0)?, "limited").await?;
    let mut owner = None;
    for node in 0..NODES {
        if granted(&fleet, node).await? > 0.0 {
            owner = Some(node);
        }
    }
    let owner = owner.ok_or_eyre("no node has granted a token")?;
    fleet.kill(owner)?;
    let clients: Vec<HttpClient> = (0..NODES)
        .filter(|node| *node != owner)
        .map(|node| fleet.caller(node))
        .collect::<Result<_>>()?;
    // Nodes of the other data centre notice the death after 3.3 s.
    tokio::time::sleep(Duration::from_millis(3_600)).await;
    let (mut served, started) = (0_u32, Instant::now());
    for n in 0..20 {
        let reply = send(&clients[n % clients.len()], "limited").await?;
        served += u32::from(reply.status == 200);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let took = started.elapsed();
    assert!(served >= 19, "{served} of 20 calls at half the rate served in {took:?}");
    Ok(())
}
