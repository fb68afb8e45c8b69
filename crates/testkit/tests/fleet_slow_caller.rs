//! Tests of callers that read their answers slowly.

use std::net::SocketAddr;
use std::time::Duration;

use almondsail_testkit::platform::{Fleet, RawStep};
use eyre::Result;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpSocket;

/// Size of an answer that the socket buffers of both sides don't hold.
const ANSWER_BYTES: usize = 3 * 1024 * 1024;
/// Receive buffer of the caller in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

// Guards against a connection that is reset within an answer, because the caller pauses for less
// than the time limit for writing an answer.
#[tokio::test]
async fn answer_caller_pauses() -> Result<()> {
    let mut fleet = Fleet::start(&["dc-a"], &["traslados"]).await?;
    let worker = fleet.add_raw_node("dc-a", "bays").await?;
    worker.set_script(|req| {
        let body = "b".repeat(if req.path.contains("large") { ANSWER_BYTES } else { 1 });
        let answer = req.response("200 OK", "Almondsail-Server-Signature: s\r\n", &body);
        vec![RawStep::ReadBody, RawStep::Write(answer)]
    });
    fleet.configure(1, &["traslados", "bays"]);
    fleet.wait_until_ready(0).await?;
    fleet.wait_until_served(0, "bays").await?;
    let address: SocketAddr = fleet.address(0, "callers")?;
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let mut stream = socket.connect(address).await?;
    let request = "GET /safe/large HTTP/1.1\r\nhost: bays.example\r\n\
                   almondsail-attempt-id: l\r\nalmondsail-deadline-ms: 15000\r\n\
                   connection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received).await;
    assert!(received.len() > ANSWER_BYTES, "{} bytes, {end:?}", received.len());
    Ok(())
}
