//! Odd items, documents and messages of another writer at a fleet of node processes.

use std::net::UdpSocket;

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::platform::{Fleet, KvMode};
use eyre::{Result, ensure};
use http::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const SERVICES: [&str; 2] = ["bays", "traslados"];
/// Levels of an odd value; far beyond what a recursive parser has stack for.
const NESTING: usize = 100_000;
/// Largest value that the store accepts.
const MAX_VALUE_BYTES: usize = 1_048_576;
/// Size limit of the body of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

fn nested() -> String {
    "[".repeat(NESTING) + &"]".repeat(NESTING)
}

/// Returns items that the store lists and reports beside the proper ones.
fn odd_items() -> Vec<String> {
    let key = r#""key":"almondsail/nodes/odd""#;
    let deep = nested();
    vec![
        format!(r#"{{{key},"value":{deep},"revision":5,"lease":0}}"#),
        format!(r#"{{{key},"value":"AAAA","revision":{deep},"lease":0}}"#),
        format!(r#"{{{key},"value":"AAAA","revision":18446744073709551616,"lease":0}}"#),
        format!(r#"{{{key},"value":"AAAA","revision":18446744073709551615,"lease":0}}"#),
        format!(r#"{{{key},"value":"AAAA","revision":1e400,"lease":1e400}}"#),
        format!(r#"{{{key},"value":7,"revision":"5"}}"#),
        r#"{"key":7,"value":"AAAA","revision":5}"#.to_owned(),
        "{}".to_owned(),
        deep,
    ]
}

/// Puts items with odd keys and values among those of the nodes and of the operator.
fn put_odd_values(fleet: &Fleet) {
    let deep = nested();
    let groups = vec![0x0b; NESTING];
    let entry = |door: &str| {
        let text = |tag: u8, text: &str| {
            let length = u8::try_from(text.len()).expect("a short text");
            [&[tag << 3 | 2, length], text.as_bytes()].concat()
        };
        [text(1, "odd"), text(2, door), text(3, door), text(4, "dc-a")].concat()
    };
    let order = json!({"service": "bays", "target_version": "v9", "duration_s": 1e300});
    fleet.store.edit(|state| {
        state.put("almondsail/nodes/odd", deep.as_bytes());
        state.put("almondsail/nodes/odd", &groups);
        state.put("almondsail/nodes/odd", &entry("10.0.0.9:70000"));
        state.put("almondsail/nodes/odd", &entry("10.0.0.9:0"));
        state.put("almondsail/nodes/ & # % \u{1f5dd}", b"\xff\xfe");
        state.put("almondsail/rollouts/bays", &groups);
        state.put("op/rollout/traslados", deep.as_bytes());
        state.put("op/rollout/bays", order.to_string().as_bytes());
        state.put("op/odd", deep.as_bytes());
    });
}

/// Sends odd announcements and heartbeats to each node.
async fn send_odd_messages(fleet: &Fleet) -> Result<()> {
    let deep = nested();
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    for (n, node) in fleet.nodes.iter().enumerate() {
        let announce = |field: &str, value: &str| {
            let mut text = json!({
                "address": node.worker.address().to_string(), "born": 1700,
                "info": {"service": "bays", "version": "v1", "zone": "dc-a", "capacity": 4},
                "status": {"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
            });
            *text.pointer_mut(field).expect("a field") = json!("PLACE");
            text.to_string().replacen(r#""PLACE""#, value, 1)
        };
        let announcements = HttpClient::new(fleet.address(n, "announcements")?);
        let odd = [
            ("/address", r#""10.0.0.9:70000""#),
            ("/born", "18446744073709551615"),
            ("/born", "18446744073709551616"),
            ("/status/sequence", "18446744073709551615"),
            ("/status/cold_remaining_ms", "1e400"),
            ("/info/capacity", "0"),
            ("/info/capacity", "4294967295"),
            ("/info", &deep[NESTING - 1_000..NESTING + 1_000]),
        ];
        for (field, value) in odd {
            let body = announce(field, value);
            let reply = announcements.put("/almondsail/instances/i-odd", body).await?;
            ensure!(reply.status == 400, "{field} got {}", reply.status);
        }
        let datagrams: [&[u8]; 4] = [b"", b"odd", &[0x0b; 8_000], &[0xff; 60_000]];
        for datagram in datagrams {
            socket.send_to(datagram, fleet.address(n, "nodes")?)?;
        }
    }
    Ok(())
}

/// Waits until each node answers a request to `service` with `status`.
async fn wait_until_answered(fleet: &Fleet, service: &str, status: u16) -> Result<()> {
    for node in 0..fleet.nodes.len() {
        let client = fleet.caller(node)?;
        let host = format!("{service}.example");
        wait_until("the newest configuration at every node", || async {
            let headers = [("host", host.as_str()), ("almondsail-attempt-id", "probe")];
            let reply = client.send(Method::GET, "/safe/", Default::default(), &headers).await?;
            ensure!(reply.status == status, "{service} at {node} answers {}", reply.status);
            Ok(())
        })
        .await?;
    }
    Ok(())
}

// Guards against odd items, documents or messages of another writer by which a node ends, follows
// no later configuration, or can't start.
#[tokio::test]
async fn fleet_follows_among_odd_entries() -> Result<()> {
    let mut fleet = Fleet::start(&["dc-a", "dc-b"], &SERVICES).await?;
    fleet.configure(1, &SERVICES);
    wait_until_answered(&fleet, "traslados", 200).await?;

    fleet.store.edit(|state| odd_items().iter().for_each(|item| state.add_odd_item(item)));
    put_odd_values(&fleet);
    send_odd_messages(&fleet).await?;
    fleet.configure(2, &["bays"]);
    wait_until_answered(&fleet, "traslados", 404).await?;
    wait_until_answered(&fleet, "bays", 200).await?;

    fleet.kill(0)?;
    fleet.restart(0).await?;
    fleet.wait_until_ready(0).await?;
    fleet.configure(3, &SERVICES);
    for service in SERVICES {
        wait_until_answered(&fleet, service, 200).await?;
    }
    fleet.check_running()?;
    for node in 0..fleet.nodes.len() {
        let stderr = fleet.stderr(node)?;
        ensure!(!stderr.contains("panicked"), "{}: {stderr}", fleet.nodes[node].name);
    }
    Ok(())
}

// Guards against a leave notice with a body that is too large, or ends early, that takes the
// backend server out of service.
#[tokio::test]
async fn leave_body_unreadable() -> Result<()> {
    let fleet = Fleet::start(&["dc-a"], &["bays"]).await?;
    fleet.configure(1, &["bays"]);
    wait_until_answered(&fleet, "bays", 200).await?;
    let address = fleet.address(0, "announcements")?;
    let path = "/almondsail/instances/i-dc-a-bays";

    let mut cut = TcpStream::connect(address).await?;
    let head = format!("DELETE {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{{");
    cut.write_all(head.as_bytes()).await?;
    cut.shutdown().await?;
    let mut answer = String::new();
    // The node may close the connection or answer that the request is bad.
    let _closed = cut.read_to_string(&mut answer).await;
    ensure!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    wait_until_answered(&fleet, "bays", 200).await?;

    let large = format!(r#"{{"x":"{}"}}"#, "y".repeat(MAX_ANNOUNCEMENT_BYTES));
    let client = HttpClient::new(address);
    let reply = client.send(Method::DELETE, path, large.into(), &[]).await?;
    assert_eq!(reply.status, 400);
    let reply = client.put(path, "z".repeat(MAX_ANNOUNCEMENT_BYTES + 1)).await?;
    assert_eq!(reply.status, 400);
    let caller = fleet.caller(0)?;
    let headers = [("host", "bays.example"), ("almondsail-attempt-id", "after")];
    let reply = caller.send(Method::GET, "/safe/", Default::default(), &headers).await?;
    assert_eq!(reply.status, 200);
    Ok(())
}

// Guards against the largest times, limits and weights of a configuration by which a node ends or
// a request is cut.
#[tokio::test]
async fn fleet_serves_with_largest_limits() -> Result<()> {
    let fleet = Fleet::start(&["dc-a"], &["bays"]).await?;
    let config = json!({"version": "00000001", "resources": [
        {"type": "routes", "metadata": {"name": "r-1"}, "spec": {
            "host": "bays.example", "prefix": "/safe/", "kind": "safe", "timeout_ms": f64::MAX,
            "target_latency_ms": f64::MAX, "priority": 255, "max_attempts": u32::MAX,
            "traffic_split": [{"service": "bays", "weight": f64::MAX}]}},
        {"type": "services", "metadata": {"name": "bays"}, "spec": {"max_connections": u32::MAX}},
        {"type": "limits", "metadata": {}, "spec": {
            "max_header_bytes": u64::MAX, "max_body_bytes": u64::MAX,
            "header_timeout_ms": u64::MAX, "idle_timeout_ms": u64::MAX}},
    ]});
    fleet.store.edit(|state| state.put("op/config", config.to_string().as_bytes()));
    wait_until_answered(&fleet, "bays", 200).await?;

    let mut requests = String::new();
    for n in 0..3 {
        let last = if n == 2 { "connection: close\r\n" } else { "" };
        requests += &format!(
            "GET /safe/{n} HTTP/1.1\r\nhost: bays.example\r\nalmondsail-attempt-id: p{n}\r\n\
             almondsail-deadline-ms: 1e300\r\n{last}\r\n"
        );
    }
    let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
    stream.write_all(requests.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 3, "{answer}");
    let stderr = fleet.stderr(0)?;
    ensure!(!stderr.contains("panicked"), "{stderr}");
    Ok(())
}

// Guards against a watch reply above the size limit of an answer, after which a node asks for the
// same changes until the store forgets them.
#[tokio::test]
async fn watch_reply_too_large() -> Result<()> {
    let fleet = Fleet::start(&["dc-a"], &["bays"]).await?;
    fleet.configure(1, &["bays"]);
    wait_until_answered(&fleet, "bays", 200).await?;
    fleet.store.set_mode(KvMode::Down);
    for _ in 0..5 {
        fleet.store.edit(|state| state.put("op/odd", &vec![b'x'; MAX_VALUE_BYTES]));
    }
    fleet.configure(2, &SERVICES);
    fleet.store.set_mode(KvMode::Up);
    // Without a server the route is known but no endpoint.
    wait_until_answered(&fleet, "traslados", 503).await
}
