//! Tests of the limits on callers' requests in a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::platform::{ConfigDocument, Fleet};
use eyre::{Result, ensure};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const SERVICES: [&str; 2] = ["bays", "traslados"];
/// Limit on the head of a request in the configuration of [`Fleet::configure`].
const MAX_HEAD_BYTES: usize = 16_384;
/// Limit on the time for the head of a request in the configuration of [`Fleet::configure`].
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the body of a request in the configuration of [`Fleet::configure`].
const MAX_BODY_BYTES: usize = 1_048_576;

/// Starts a fleet of one data centre and waits until node 0 reaches a server of each service.
async fn start() -> Result<Fleet> {
    let fleet = Fleet::start(&["dc-a"], &SERVICES).await?;
    fleet.configure(1, &SERVICES);
    fleet.wait_until_ready(0).await?;
    for service in SERVICES {
        fleet.wait_until_served(0, service).await?;
    }
    Ok(fleet)
}

/// Returns a request to `service` whose head has exactly `head` bytes and whose body has `body`.
fn request(service: &str, head: usize, body: usize) -> Vec<u8> {
    let start = format!(
        "GET /safe/ HTTP/1.1\r\nhost: {service}.example\r\nalmondsail-attempt-id: limits\r\n\
         almondsail-deadline-ms: 10000\r\ncontent-length: {body}\r\nfiller: "
    );
    let filler = "f".repeat(head - start.len() - "\r\n\r\n".len());
    [start.as_bytes(), filler.as_bytes(), b"\r\n\r\n", &vec![b'b'; body]].concat()
}

/// Sends `request` and returns the status line of the answer.
async fn send(stream: &mut TcpStream, request: &[u8]) -> Result<String> {
    stream.write_all(request).await?;
    let mut buf = vec![0; 4 * 1024 * 1024];
    let n = stream.read(&mut buf).await?;
    let answer = String::from_utf8_lossy(&buf[..n]);
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

async fn connect(fleet: &Fleet) -> Result<TcpStream> {
    let address: SocketAddr = fleet.address(0, "callers")?;
    Ok(TcpStream::connect(address).await?)
}

// Guards against a request within the limits that another node refuses, since the entry node has
// added a header to it.
#[tokio::test]
async fn head_at_limit_forwarded() -> Result<()> {
    let fleet = start().await?;
    for service in SERVICES {
        let mut stream = connect(&fleet).await?;
        let status = send(&mut stream, &request(service, MAX_HEAD_BYTES, 0)).await?;
        assert_eq!(status, "HTTP/1.1 200 OK", "{service}");
    }
    Ok(())
}

/// Writes configuration `version` and waits until node 0 accepts a body just below
/// `max_body_bytes` on a new connection.
async fn change_limits(
    fleet: &Fleet,
    version: u32,
    max_body_bytes: usize,
    idle_timeout: Duration,
) -> Result<()> {
    let document = ConfigDocument::new(version, &SERVICES);
    fleet.write_config(&document.max_body_bytes(max_body_bytes).idle_timeout(idle_timeout));
    let largest = request("bays", 1_000, max_body_bytes);
    wait_until("the changed limits", || async {
        let status = send(&mut connect(fleet).await?, &largest).await?;
        ensure!(status == "HTTP/1.1 200 OK", "{status}");
        Ok(())
    })
    .await
}

// Guards against a kept connection on which requests are refused by the limits of the configuration
// in which it was accepted.
#[tokio::test]
async fn body_limit_raised_on_kept_connection() -> Result<()> {
    let fleet = start().await?;
    let mut kept = connect(&fleet).await?;
    assert_eq!(send(&mut kept, &request("bays", 1_000, 0)).await?, "HTTP/1.1 200 OK");
    change_limits(&fleet, 2, 2 * MAX_BODY_BYTES, Duration::from_secs(15)).await?;
    let larger = request("bays", 1_000, MAX_BODY_BYTES + 1);
    assert_eq!(send(&mut kept, &larger).await?, "HTTP/1.1 200 OK");
    Ok(())
}

// Guards against a kept connection that is closed as idle by the limit of an older configuration.
#[tokio::test]
async fn idle_limit_raised_on_kept_connection() -> Result<()> {
    const SHORT: Duration = Duration::from_secs(2);
    let fleet = start().await?;
    change_limits(&fleet, 2, 2 * MAX_BODY_BYTES, SHORT).await?;
    let mut kept = connect(&fleet).await?;
    assert_eq!(send(&mut kept, &request("bays", 1_000, 0)).await?, "HTTP/1.1 200 OK");
    change_limits(&fleet, 3, 3 * MAX_BODY_BYTES, 5 * SHORT).await?;
    tokio::time::sleep(SHORT + SHORT / 4).await;
    assert_eq!(send(&mut kept, &request("bays", 1_000, 0)).await?, "HTTP/1.1 200 OK");
    Ok(())
}

/// Sends the parts of `request` with a pause after each. Returns the status line of the answer; an
/// error if the node closes the connection without one.
async fn send_slowly(
    fleet: &Fleet,
    request: &[u8],
    parts: usize,
    pause: Duration,
) -> Result<String> {
    let mut stream = connect(fleet).await?;
    stream.set_nodelay(true)?;
    for part in request.chunks(request.len().div_ceil(parts)) {
        // A node that gave up has answered before the end of the request.
        if stream.write_all(part).await.is_err() {
            break;
        }
        tokio::time::sleep(pause).await;
    }
    send(&mut stream, b"").await
}

// Guards against a large body that is refused because it takes longer over a slow link than a head
// may take, although it goes on arriving.
#[tokio::test]
async fn body_slower_than_head_limit() -> Result<()> {
    let fleet = start().await?;
    let upload = request("bays", 1_000, 360_000);
    let status = send_slowly(&fleet, &upload, 9, HEAD_TIMEOUT / 4).await?;
    assert_eq!(status, "HTTP/1.1 200 OK");
    Ok(())
}

// Guards against a head that arrives byte by byte and holds a connection for as long as it likes.
#[tokio::test]
async fn head_slower_than_limit() -> Result<()> {
    let fleet = start().await?;
    let head = request("bays", 1_000, 0);
    let status = send_slowly(&fleet, &head, 9, HEAD_TIMEOUT / 4).await?;
    assert_eq!(status, "HTTP/1.1 408 Request Timeout");
    Ok(())
}
