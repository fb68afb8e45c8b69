//! Tests of the transfers of a configuration from node to node.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use almondsail_core::fleet::{Heartbeat, NodeEntry};
use almondsail_core::ids::{ConfigVersion, Incarnation};
use almondsail_testkit::harness::wait_until;
use almondsail_testkit::platform::{ConfigDocument, Fleet};
use almondsail_wire::encode_heartbeat;
use eyre::{Report, Result, ensure, eyre};
use http::Method;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::JoinSet;

const SERVICES: [&str; 1] = ["bays"];
/// The number of nodes that ask for the configuration at the same time.
const NODES: usize = 32;
/// The number of routes, of which the text of the configuration has 230 bytes each.
const ROUTES: usize = 3_000;
/// The largest size of the compressed text.
const MAX_COMPRESSED_BYTES: usize = 24 * ROUTES;
/// The largest number of bytes that may be on their way at the same time, a tenth of a second of a
/// link of 10 Mbit/s, besides one transfer.
const MAX_BYTES: usize = 128 * 1024;

/// Header by which nodes ask for a compressed text.
const COMPRESSED: &str = "accept-encoding: deflate\r\n";

/// Asks the node at `address` for its configuration with one more header, and reads nothing but the
/// head of the answer. Returns the length of the body, which is zero if the node refuses to send it.
async fn ask(address: SocketAddr, header: &str) -> Result<(TcpStream, usize)> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET /fleet/config HTTP/1.1\r\nhost: node\r\n{header}\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8(head)?.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    Ok((stream, length.ok_or_else(|| eyre!("no length: {head}"))?.parse()?))
}

/// Guards against a node that sends its configuration to all others at the same time, so that a slow
/// link carries it to none of them before they give up.
#[tokio::test]
async fn config_asked_by_many() -> Result<()> {
    let fleet = Fleet::start(&["dc-a"], &SERVICES).await?;
    fleet.write_config(&ConfigDocument::new(1, &SERVICES).unused_routes(ROUTES));
    fleet.wait_until_ready(0).await?;
    let address = fleet.address(0, "nodes")?;
    let requests: JoinSet<Result<(TcpStream, usize)>> =
        (0..NODES).map(|_| ask(address, COMPRESSED)).collect();
    let answers: Vec<(TcpStream, usize)> =
        requests.join_all().await.into_iter().collect::<Result<_>>()?;
    let lengths: Vec<usize> = answers.iter().map(|(_, length)| *length).collect();
    let largest = lengths.iter().max().copied().unwrap_or_default();
    let sum: usize = lengths.iter().sum();
    assert!(largest > 0, "nobody gets the configuration");
    assert!(sum <= MAX_BYTES + largest, "{sum} bytes are sent at the same time: {lengths:?}");
    Ok(())
}

/// Guards against a text that is sent whole, and against one that a node of an earlier build can't
/// read while the nodes of a fleet are replaced in turn.
#[tokio::test]
async fn config_text_compressed() -> Result<()> {
    let fleet = Fleet::start(&["dc-a"], &SERVICES).await?;
    fleet.write_config(&ConfigDocument::new(1, &SERVICES).unused_routes(ROUTES));
    fleet.wait_until_ready(0).await?;
    let address = fleet.address(0, "nodes")?;
    let text = fleet.store.edit(|state| state.get("op/config")).unwrap_or_default();
    let (_stream, length) = ask(address, COMPRESSED).await?;
    assert!((1..=MAX_COMPRESSED_BYTES).contains(&length), "{length} bytes are sent");
    let plain = wait_until("a node that is not busy", async || {
        let (stream, length) = ask(address, "").await?;
        ensure!(length > 0, "the node is busy");
        Ok((stream, length))
    });
    let (mut stream, length) = plain.await?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    assert!(body == text, "the text is not that of the store");
    Ok(())
}

/// Returns a heartbeat of a node that has a newer configuration and can't be asked for it.
fn newer_node(sequence: u64) -> Heartbeat {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Heartbeat {
        entry: NodeEntry {
            node: "newer".parse().expect("a name"),
            inbound: address,
            heartbeats: address,
            data_centre: "dc-a".parse().expect("a name"),
            departed: None,
        },
        incarnation: Incarnation::new(1),
        sequence,
        revision: 1,
        config_version: ConfigVersion::new(9),
        is_store_reached: true,
        is_leaving: false,
        backend: None,
        departures: Vec::new(),
        rollouts: Vec::new(),
        evacuations: None,
        confirmation: None,
        digest: None,
    }
}

/// Guards against a node that tells a caller that a route does not exist although it knows that another
/// node has a newer configuration.
#[tokio::test]
async fn unknown_route_outdated_config() -> Result<()> {
    let fleet = Fleet::start(&["dc-a"], &SERVICES).await?;
    fleet.configure(1, &SERVICES);
    fleet.wait_until_ready(0).await?;
    let client = fleet.caller(0)?;
    let headers = [("host", "bays.example"), ("almondsail-attempt-id", "probe")];
    let status = async || {
        let reply = client.send(Method::GET, "/missing/", Default::default(), &headers).await?;
        Ok::<_, Report>(reply.status.as_u16())
    };
    assert_eq!(status().await?, 404);
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let sequence = AtomicU64::new(1);
    wait_until("a refusal that may be repeated", async || {
        let heartbeat = newer_node(sequence.fetch_add(1, Ordering::Relaxed));
        socket.send_to(&encode_heartbeat(&heartbeat), fleet.address(0, "nodes")?).await?;
        let status = status().await?;
        ensure!(status == 503, "{status}");
        Ok(())
    })
    .await
}
