//! Tests of teams and their credentials at a fleet of node processes.

use std::time::{Duration, Instant};

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::{HttpClient, KeptConnection, Reply};
use almondsail_testkit::platform::{ConfigDocument, ExecutedRequest, Fleet};
use bytes::Bytes;
use eyre::{OptionExt as _, Result, ensure};
use http::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const SERVICES: [&str; 2] = ["bays", "traslados"];
/// Time from the acknowledgement of a configuration until it is in force at all nodes.
const IN_FORCE: Duration = Duration::from_millis(2_500);
/// Time between two requests of a caller that waits for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Largest body that is read although its request is refused.
const SMALL_BODY_BYTES: usize = 16 * 1024;

fn document(version: u32) -> ConfigDocument {
    ConfigDocument::new(version, &SERVICES).public_route("bays")
}

/// Returns a configuration with two teams, whose credentials are `acme-1`, `acme-2` and `lone-1`.
fn with_teams(version: u32) -> ConfigDocument {
    document(version).team("acme", &["acme-1", "acme-2"]).team("lone", &["lone-1"])
}

/// Starts a fleet with the configuration of [`with_teams`] in force at all nodes.
async fn start(data_centres: &[&str]) -> Result<Fleet> {
    let fleet = Fleet::start(data_centres, &SERVICES).await?;
    fleet.write_config(&with_teams(1));
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_ready(node).await?;
    }
    fleet.wait_until_joined().await?;
    Ok(fleet)
}

fn token(credential: &str) -> String {
    format!("Token {credential}")
}

/// Sends a request with `extra` headers to the service `bays` over `connection`.
async fn send(
    connection: &mut KeptConnection,
    path: &str,
    id: &str,
    extra: &[(&str, &str)],
) -> Result<Reply> {
    let mut headers = vec![("host", "bays.example"), ("almondsail-attempt-id", id)];
    headers.extend(extra);
    connection.send(Method::GET, path, Bytes::new(), &headers).await
}

/// Returns the status of the answer to a request with `credential`.
async fn status_of(connection: &mut KeptConnection, credential: &str) -> Result<u16> {
    let sent = token(credential);
    let reply = send(connection, "/safe/", credential, &[("authorization", &sent)]).await?;
    Ok(reply.status.as_u16())
}

async fn connect(fleet: &Fleet, node: usize) -> Result<KeptConnection> {
    KeptConnection::connect(fleet.address(node, "callers")?).await
}

fn executed(fleet: &Fleet, id: &str) -> Vec<ExecutedRequest> {
    let all = fleet.nodes.iter().flat_map(|node| node.worker.executed_requests());
    all.filter(|request| request.id == id).collect()
}

// Guards against a request that runs without a valid credential, or is refused with one; and
// against a refusal that closes a kept connection.
#[tokio::test]
async fn credential_every_form() -> Result<()> {
    let fleet = start(&["dc-a"]).await?;
    const FORMS: [(&str, &str, u16); 12] = [
        ("/safe/", "Token acme-1", 200),
        ("/safe/", "Token acme-2", 200),
        ("/safe/", "Token lone-1", 200),
        ("/public/", "Token lone-1", 200),
        ("/safe/", "Token acme-3", 401),
        ("/public/", "Token acme-3", 401),
        ("/safe/", "Token acme-1x", 401),
        ("/safe/", "Token", 401),
        ("/safe/", "acme-1", 401),
        ("/safe/", "Basic acme-1", 401),
        ("/public/", "Bearer acme-1", 401),
        ("/safe/", "Token acme-1 lone-1", 401),
    ];
    let mut wrong = Vec::new();
    for node in 0..fleet.nodes.len() {
        let mut connection = connect(&fleet, node).await?;
        for (n, (path, value, expected)) in FORMS.into_iter().enumerate() {
            let id = format!("form-{node}-{n}");
            let reply = send(&mut connection, path, &id, &[("authorization", value)]).await?;
            let runs = executed(&fleet, &id).len();
            if reply.status != expected || runs != usize::from(expected == 200) {
                wrong.push((node, path, value, reply.status, runs));
            }
        }
        let missing = send(&mut connection, "/safe/", "missing", &[]).await?;
        assert_eq!(missing.status, 401);
        let public = send(&mut connection, "/public/", "no-credential", &[]).await?;
        assert_eq!(public.status, 200);
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert_eq!(executed(&fleet, "missing"), []);
    Ok(())
}

// Guards against two credentials in one request, of which a node and a server may read different
// ones.
#[tokio::test]
async fn credential_twice() -> Result<()> {
    let fleet = start(&["dc-a"]).await?;
    let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
    let head = "GET /safe/ HTTP/1.1\r\nhost: bays.example\r\nalmondsail-attempt-id: twice\r\n\
                authorization: Token acme-1\r\nauthorization: Token lone-1\r\n\
                connection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    assert!(answer.starts_with("HTTP/1.1 401 "), "{answer:?}");
    assert_eq!(executed(&fleet, "twice"), []);
    Ok(())
}

// Guards against a server that gets the name of another team, or the credential.
#[tokio::test]
async fn server_sees_team_only() -> Result<()> {
    let fleet = start(&["dc-a"]).await?;
    let cases = [
        ("/safe/", Some("Token acme-2"), "acme"),
        ("/public/", Some("Token lone-1"), "lone"),
        ("/public/", None, ""),
    ];
    for node in 0..fleet.nodes.len() {
        let mut connection = connect(&fleet, node).await?;
        for (n, (path, value, team)) in cases.into_iter().enumerate() {
            for forged in [None, Some("lone"), Some("acme"), Some("")] {
                let id = format!("{node}-{n}-{forged:?}");
                let credential = value.map(|value| ("authorization", value));
                let forged = forged.map(|team| ("almondsail-tenant", team));
                let extra: Vec<_> = credential.into_iter().chain(forged).collect();
                assert_eq!(send(&mut connection, path, &id, &extra).await?.status, 200);
                let ran = executed(&fleet, &id);
                let ran = ran.first().ok_or_eyre("the request did not run")?;
                assert_eq!((ran.team.as_str(), ran.has_credential), (team, false), "{id}");
            }
        }
    }
    Ok(())
}

/// Sends requests with `credential` on `connection` for longer than [`IN_FORCE`] after `changed`.
/// Checks that the status is `before` at first and `after` from [`IN_FORCE`] on, without a return.
async fn check_change(
    mut connection: KeptConnection,
    credential: &'static str,
    changed: Instant,
    (before, after): (u16, u16),
) -> Result<Duration> {
    let mut in_force = None;
    while changed.elapsed() < IN_FORCE * 2 {
        let sent = changed.elapsed();
        let status = status_of(&mut connection, credential).await?;
        match in_force {
            None if status == after => in_force = Some(sent),
            // A node that hears of a newer configuration refuses what it does not know.
            None => ensure!(
                (status == before || status == 503) && sent < IN_FORCE,
                "{status}, {sent:?}"
            ),
            Some(since) => {
                ensure!(status == after, "{status} after {sent:?}, changed at {since:?}")
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    in_force.ok_or_eyre("the change is not in force")
}

// Guards against a credential that is accepted too long after its withdrawal, or too late after it
// was added, at any node, on connections that were open before.
#[tokio::test]
async fn credential_changed_on_kept_connection() -> Result<()> {
    let fleet = start(&["dc-a", "dc-b", "dc-c"]).await?;
    let mut connections = Vec::new();
    for node in 0..fleet.nodes.len() {
        for credential in ["acme-1", "acme-2", "acme-9"] {
            let mut connection = connect(&fleet, node).await?;
            let expected = if credential == "acme-9" { 401 } else { 200 };
            assert_eq!(status_of(&mut connection, credential).await?, expected);
            connections.push((credential, connection));
        }
    }
    let changed = document(2).team("acme", &["acme-2", "acme-9"]).team("lone", &["lone-1"]);
    fleet.write_config(&changed);
    let changed = Instant::now();
    let checks: Vec<_> = connections
        .into_iter()
        .map(|(credential, connection)| {
            let change = match credential {
                "acme-1" => (200, 401),
                "acme-9" => (401, 200),
                _ => (200, 200),
            };
            tokio::spawn(check_change(connection, credential, changed, change))
        })
        .collect();
    for check in checks {
        check.await??;
    }
    Ok(())
}

/// Waits until each node has counted a refused configuration.
async fn wait_until_refused(fleet: &Fleet) -> Result<()> {
    for node in 0..fleet.nodes.len() {
        let client = HttpClient::new(fleet.address(node, "metrics")?);
        wait_until("the refused configuration at every node", || async {
            let reply = client.get("/metrics").await?;
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            ensure!(text.contains("config_refused"), "node {node} has refused none");
            Ok(())
        })
        .await?;
    }
    Ok(())
}

// Guards against a configuration in which two teams have one credential and that is taken, whole or
// in part.
#[tokio::test]
async fn credential_of_two_teams() -> Result<()> {
    let fleet = start(&["dc-a", "dc-b"]).await?;
    let shared = document(2).team("acme", &["acme-2", "both"]).team("lone", &["both"]);
    fleet.write_config(&shared);
    wait_until_refused(&fleet).await?;
    tokio::time::sleep(IN_FORCE).await;
    for node in 0..fleet.nodes.len() {
        let mut connection = connect(&fleet, node).await?;
        for (credential, expected) in [("acme-1", 200), ("lone-1", 200), ("both", 401)] {
            let status = status_of(&mut connection, credential).await?;
            assert_eq!(status, expected, "{credential} at node {node}");
        }
    }
    Ok(())
}

// Guards against a node that was down when a credential was withdrawn and accepts it once it is
// ready again.
#[tokio::test]
async fn credential_withdrawn_while_node_down() -> Result<()> {
    let mut fleet = start(&["dc-a", "dc-b"]).await?;
    fleet.kill(1)?;
    fleet.write_config(&document(2).team("acme", &["acme-2"]));
    tokio::time::sleep(IN_FORCE).await;
    fleet.restart(1).await?;
    let mut connection = connect(&fleet, 1).await?;
    let ready = HttpClient::new(fleet.address(1, "ready")?);
    loop {
        let is_ready = ready.get("/almondsail/readyz").await?.status == 200;
        let status = status_of(&mut connection, "acme-1").await?;
        assert!(status == 401 || (status == 503 && !is_ready), "{status}");
        if is_ready {
            break;
        }
    }
    fleet.wait_until_ready(1).await?;
    assert_eq!(status_of(&mut connection, "acme-2").await?, 200);
    Ok(())
}

// Guards against a node that stood still when a credential was withdrawn and goes on accepting it.
#[tokio::test]
async fn credential_withdrawn_while_node_paused() -> Result<()> {
    let fleet = start(&["dc-a", "dc-b"]).await?;
    let mut connection = connect(&fleet, 0).await?;
    assert_eq!(status_of(&mut connection, "acme-1").await?, 200);
    fleet.suspend(0)?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.write_config(&document(2).team("acme", &["acme-2"]));
    tokio::time::sleep(IN_FORCE).await;
    fleet.resume(0)?;
    check_change(connection, "acme-1", Instant::now(), (200, 401)).await?;
    Ok(())
}

// Guards against a credential in a log line, a metric or an answer, also if the configuration or
// the request that holds it is refused.
#[tokio::test]
async fn credential_shown_nowhere() -> Result<()> {
    const MARK: &str = "sekret";
    let fleet = Fleet::start(&["dc-a"], &SERVICES).await?;
    fleet.write_config(&document(1).team("acme", &["sekret-1", "sekret-2"]));
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_ready(node).await?;
    }
    fleet.wait_until_joined().await?;
    let team = |spec: serde_json::Value| json!({"type": "tenants", "metadata": {"name": "odd"}, "spec": spec});
    let odd = [
        team(json!({"api_keys": "sekret-bare"})),
        team(json!({"api_keys": {"sekret-key": 1}})),
        team(json!({"api_keys": [["sekret-nested"]]})),
        team(json!({"api_keys": ["sekret with spaces"]})),
        team(json!({"api_keys": ["sekret-3"], "priority": "sekret-priority"})),
        team(json!({"api_keys": ["sekret-1"]})),
        team(json!("sekret-spec")),
        team(json!(["sekret-list"])),
        json!({"type": "tenants", "metadata": {"name": "odd"}, "spec": {"api_keys": ["sekret-4"]}, "api_keys": 1}),
    ];
    let mut versions = 2..;
    for resource in odd.into_iter().chain([team(json!({"api_keys": ["sekret-5"]}))]) {
        let version = versions.next().ok_or_eyre("a version")?;
        let document = document(version).team("acme", &["sekret-1", "sekret-2"]);
        fleet.write_config(&document.resource(resource));
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    wait_until_refused(&fleet).await?;
    let mut seen = String::new();
    for node in 0..fleet.nodes.len() {
        let mut connection = connect(&fleet, node).await?;
        for value in ["Token sekret-1", "Token sekret-x", "Basic sekret-y", "sekret-z"] {
            for path in ["/safe/", "/public/", "/nowhere/"] {
                let headers = [("authorization", value)];
                let reply = send(&mut connection, path, "shown", &headers).await?;
                seen += &format!("{:?}{}", reply.headers, String::from_utf8_lossy(&reply.body));
            }
        }
        let metrics = HttpClient::new(fleet.address(node, "metrics")?).get("/metrics").await?;
        seen += &String::from_utf8_lossy(&metrics.body);
        seen += &fleet.log(node)?;
        seen += &fleet.stderr(node)?;
    }
    assert!(seen.contains("config_refused") && seen.contains("unknown_credential"));
    let shown: Vec<_> = seen.lines().filter(|line| line.contains(MARK)).collect();
    assert!(shown.is_empty(), "{shown:#?}");
    Ok(())
}

/// Sends the head of an upload with `framing` and `sent` bytes of its body.
async fn upload(fleet: &Fleet, credential: &str, framing: &str, sent: usize) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
    let head = format!(
        "POST /unsafe/ HTTP/1.1\r\nhost: bays.example\r\nalmondsail-attempt-id: upload\r\n\
         authorization: Token {credential}\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    // The node may close the connection before the end.
    let _closed = stream.write_all(&vec![b'x'; sent]).await;
    Ok(stream)
}

async fn post(connection: &mut KeptConnection, credential: &str, body: Bytes) -> Result<Reply> {
    let sent = token(credential);
    let headers =
        [("host", "bays.example"), ("authorization", &sent), ("almondsail-attempt-id", "post")];
    connection.send(Method::POST, "/unsafe/", body, &headers).await
}

/// Returns what the node answers until it closes the connection.
async fn read_to_close(mut stream: TcpStream) -> Result<String> {
    let mut answer = Vec::new();
    let read = tokio::time::timeout(IN_FORCE, stream.read_to_end(&mut answer)).await?;
    // A reset may follow the answer, since the body was not read.
    let _reset = read;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

// Guards against a node that takes memory and time for the body of a request that it will refuse
// for its credential.
#[tokio::test]
async fn large_body_unknown_credential() -> Result<()> {
    const BODY_BYTES: usize = 1_000_000;
    /// Together above the memory that a node has for bodies.
    const UPLOADS: usize = 40;
    let fleet = start(&["dc-a"]).await?;
    let length = format!("content-length: {BODY_BYTES}");
    let expecting = format!("{length}\r\nexpect: 100-continue");
    let chunked = format!("transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}");
    let before = fleet.usage(0)?.memory;
    let mut streams = Vec::new();
    for framing in [length.as_str(), &expecting, &chunked] {
        for _ in 0..UPLOADS / 2 {
            let sent = if framing == expecting { 0 } else { BODY_BYTES * 9 / 10 };
            streams.push(upload(&fleet, "acme-3", framing, sent).await?);
        }
    }
    let held = fleet.usage(0)?.memory.get().saturating_sub(before.get());
    for stream in streams {
        let answer = read_to_close(stream).await?;
        assert!(answer.starts_with("HTTP/1.1 401 "), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
    }
    assert!(held < (UPLOADS * BODY_BYTES / 4) as u64, "{held} bytes more are in use");
    let mut connection = connect(&fleet, 0).await?;
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let reply = post(&mut connection, "acme-1", body).await?;
    assert_eq!(reply.status, 200);
    assert_eq!(executed(&fleet, "upload"), []);
    Ok(())
}

// Guards against the loss of a kept connection by the refusal of a small request.
#[tokio::test]
async fn small_body_unknown_credential() -> Result<()> {
    let fleet = start(&["dc-a"]).await?;
    let mut connection = connect(&fleet, 0).await?;
    for (credential, expected) in [("acme-3", 401), ("acme-1", 200), ("acme-3", 401)] {
        let body = Bytes::from(vec![b'x'; SMALL_BODY_BYTES]);
        let reply = post(&mut connection, credential, body).await?;
        assert_eq!(reply.status, expected);
    }
    Ok(())
}
