//! Tests of the limits on callers' requests in a fleet.

use std::net::SocketAddr;

use almondsail_testkit::platform::Fleet;
use eyre::Result;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const SERVICES: [&str; 2] = ["bays", "traslados"];
/// Limit on the head of a request in the configuration of [`Fleet::configure`].
const MAX_HEAD_BYTES: usize = 16_384;

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

/// Returns a request to `service` whose head has exactly `head` bytes.
fn request(service: &str, head: usize) -> Vec<u8> {
    let start = format!(
        "GET /safe/ HTTP/1.1\r\nhost: {service}.example\r\nalmondsail-attempt-id: limits\r\n\
         almondsail-deadline-ms: 10000\r\nfiller: "
    );
    let filler = "f".repeat(head - start.len() - "\r\n\r\n".len());
    [start.as_bytes(), filler.as_bytes(), b"\r\n\r\n"].concat()
}

/// Sends `request` and returns the status line of the answer.
async fn send(stream: &mut TcpStream, request: &[u8]) -> Result<String> {
    stream.write_all(request).await?;
    let mut buf = vec![0; 64 * 1024];
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
        let status = send(&mut stream, &request(service, MAX_HEAD_BYTES)).await?;
        assert_eq!(status, "HTTP/1.1 200 OK", "{service}");
    }
    Ok(())
}
