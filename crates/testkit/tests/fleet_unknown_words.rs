//! Configurations with words that this build does not know, at a fleet of node processes.

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::mesh::Metrics;
use almondsail_testkit::platform::{Fleet, WorkerFault};
use eyre::{Result, ensure};
use http::{Method, StatusCode};
use serde_json::{Value, json};

const SERVICE: &str = "bays";

/// Returns a configuration with a route `/ROUTE/` of `kind`, and a further resource of each type in
/// `types`.
fn document(version: u32, route: &str, kind: &str, types: &[&str]) -> Value {
    let mut resources = vec![
        json!({"type": "limits", "metadata": {}, "spec": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        }}),
        json!({"type": "services", "metadata": {"name": SERVICE},
            "spec": {"health_path": "/healthz", "max_connections": 50}}),
        json!({"type": "routes", "metadata": {"name": route}, "spec": {
            "host": "bays.example", "prefix": format!("/{route}/"), "kind": kind,
            "timeout_ms": 5_000, "target_latency_ms": 1_000, "priority": 1, "service": SERVICE,
            "max_attempts": 3,
        }}),
    ];
    resources.extend(types.iter().map(|kind| json!({"type": kind, "metadata": {}, "spec": {}})));
    json!({"version": format!("{version:08x}"), "resources": resources})
}

fn write_config(fleet: &Fleet, document: &Value) {
    fleet.store.edit(|state| state.put("op/config", document.to_string().as_bytes()));
}

/// Sends a request to a node and returns the status of its answer.
async fn send(fleet: &Fleet, node: usize, method: Method, path: &str) -> Result<StatusCode> {
    let id = format!("{path}-{node}");
    let headers = [("host", "bays.example"), ("almondsail-attempt-id", id.as_str())];
    let reply = fleet.caller(node)?.send(method, path, Default::default(), &headers).await?;
    Ok(reply.status)
}

/// Waits until each node answers requests for `path` with `status`.
async fn wait_until_answered(fleet: &Fleet, path: &str, status: StatusCode) -> Result<()> {
    for node in 0..fleet.nodes.len() {
        wait_until("the status at every node", || async {
            let seen = send(fleet, node, Method::GET, path).await?;
            ensure!(seen == status, "node {node} answers {seen}");
            Ok(())
        })
        .await?;
    }
    Ok(())
}

/// Waits until each node has counted a change of `kind`.
async fn wait_until_counted(fleet: &Fleet, kind: &str) -> Result<()> {
    for node in 0..fleet.nodes.len() {
        let client = HttpClient::new(fleet.address(node, "metrics")?);
        wait_until("the change at every node", || async {
            let reply = client.get("/metrics").await?;
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            Metrics::parse(&text)?;
            let is_counted = |line: &str| line.contains("fleet_changes") && line.contains(kind);
            ensure!(text.lines().any(is_counted), "node {node} has not counted {kind}");
            Ok(())
        })
        .await?;
    }
    Ok(())
}

// Guards against a fleet that serves nothing because the configuration that it finds at its start
// has a route of an unknown kind, and against a call of such a route that runs twice.
#[tokio::test]
async fn route_kind_unknown_at_start() -> Result<()> {
    let mut fleet = Fleet::start(&["dc-a", "dc-b"], &[SERVICE]).await?;
    write_config(&fleet, &document(1, "odd", "stream-of-tomorrow", &[]));
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_ready(node).await?;
    }
    wait_until_answered(&fleet, "/odd/start", StatusCode::OK).await?;
    wait_until_counted(&fleet, "config_kind_unknown").await?;
    fleet.nodes.iter().for_each(|node| node.worker.set_fault(WorkerFault::LosesAnswers));
    let status = send(&fleet, 0, Method::GET, "/odd/lost").await?;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    let ran = fleet.nodes.iter().flat_map(|node| node.worker.executed_requests());
    assert_eq!(ran.filter(|request| request.id == "/odd/lost-0").count(), 1);
    fleet.check_running()
}

// Guards against a configuration that is taken in part: without the resource of an unknown type,
// or in place of the one in force.
#[tokio::test]
async fn resource_type_unknown_later() -> Result<()> {
    let mut fleet = Fleet::start(&["dc-a", "dc-b"], &[SERVICE]).await?;
    write_config(&fleet, &document(1, "first", "safe", &[]));
    wait_until_answered(&fleet, "/first/a", StatusCode::OK).await?;
    write_config(&fleet, &document(2, "second", "safe", &["mirrors"]));
    wait_until_counted(&fleet, "config_refused").await?;
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_ready(node).await?;
    }
    wait_until_answered(&fleet, "/first/b", StatusCode::OK).await?;
    wait_until_answered(&fleet, "/second/a", StatusCode::NOT_FOUND).await?;
    write_config(&fleet, &document(3, "third", "safe", &[]));
    wait_until_answered(&fleet, "/third/a", StatusCode::OK).await?;
    fleet.check_running()
}

/// Returns [`document`] with an idempotent route `/safe/`, one `/odd/` that has an unknown field,
/// and a resource of an unknown type.
fn partial_document(version: u32) -> Value {
    let mut document = document(version, "unsafe", "unsafe", &["mirrors"]);
    let route = |name: &str| {
        let mut route = document["resources"][2].clone();
        route["metadata"]["name"] = name.into();
        route["spec"]["prefix"] = format!("/{name}/").into();
        route["spec"]["kind"] = "safe".into();
        route
    };
    let (safe, mut odd) = (route("safe"), route("odd"));
    odd["spec"]["mirror"] = "bays".into();
    let entries = document["resources"].as_array_mut().expect("a list");
    entries.extend([safe, odd]);
    document
}

// Guards against a fleet that serves nothing because the configuration that it finds at its start has
// a resource of an unknown type; against one that runs calls that this may concern, or says that a
// route doesn't exist; and against one that stays so when a readable configuration is written.
#[tokio::test]
async fn resource_type_unknown_at_start() -> Result<()> {
    let mut fleet = Fleet::start(&["dc-a", "dc-b"], &[SERVICE]).await?;
    write_config(&fleet, &partial_document(1));
    wait_until_counted(&fleet, "config_refused").await?;
    wait_until_counted(&fleet, "config_type_unknown").await?;
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_ready(node).await?;
        assert!(fleet.log(node)?.contains("mirrors"), "node {node}");
    }
    wait_until_answered(&fleet, "/safe/a", StatusCode::OK).await?;
    for path in ["/unsafe/a", "/odd/a", "/nowhere/a"] {
        for node in 0..fleet.nodes.len() {
            let headers = [("host", "bays.example"), ("almondsail-attempt-id", path)];
            let client = fleet.caller(node)?;
            let reply = client.send(Method::GET, path, Default::default(), &headers).await?;
            assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
            assert_eq!(reply.header("almondsail-reason"), Some("partial_config"), "{path}");
            assert!(reply.header("retry-after").is_some(), "{path}");
        }
        let ran = fleet.nodes.iter().flat_map(|node| node.worker.executed_requests());
        assert_eq!(ran.filter(|request| request.id == path).count(), 0, "{path}");
    }
    write_config(&fleet, &document(2, "unsafe", "unsafe", &[]));
    wait_until_answered(&fleet, "/unsafe/b", StatusCode::OK).await?;
    wait_until_answered(&fleet, "/safe/b", StatusCode::NOT_FOUND).await?;
    fleet.check_running()
}

// Guards against a node that was restarted and takes a part of the configuration that it can't read
// in place of the one that is in force at the others.
#[tokio::test]
async fn resource_type_unknown_after_restart() -> Result<()> {
    let mut fleet = Fleet::start(&["dc-a", "dc-b"], &[SERVICE]).await?;
    write_config(&fleet, &document(1, "unsafe", "unsafe", &[]));
    wait_until_answered(&fleet, "/unsafe/a", StatusCode::OK).await?;
    write_config(&fleet, &partial_document(2));
    wait_until_counted(&fleet, "config_refused").await?;
    fleet.kill(1)?;
    fleet.restart(1).await?;
    wait_until_answered(&fleet, "/unsafe/b", StatusCode::OK).await?;
    wait_until_answered(&fleet, "/safe/b", StatusCode::NOT_FOUND).await?;
    fleet.check_running()
}
