//! Tests of callers that don't read their answers.

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::platform::{Fleet, RawStep};
use eyre::{Result, ensure};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpSocket;

/// More than the socket buffers of both sides hold.
const ANSWER_BYTES: usize = 15 * 1024 * 1024;
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

// Guards against an answer that can't be written and leaves no trace, since its request is no longer
// in flight.
#[tokio::test]
async fn write_failed_recorded() -> Result<()> {
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
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let mut stream = socket.connect(fleet.address(0, "callers")?).await?;
    let request = "GET /safe/large HTTP/1.1\r\nhost: bays.example\r\n\
                   almondsail-attempt-id: large\r\nalmondsail-deadline-ms: 15000\r\n\r\n";
    stream.write_all(request.as_bytes()).await?;
    let metrics = HttpClient::new(fleet.address(0, "metrics")?);
    wait_until("the failed write", || async {
        let reply = metrics.get("/metrics").await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let mut counts = text.lines().filter(|line| line.contains("fleet_unanswered_requests"));
        let count = counts.find(|line| line.contains("write_failed"));
        ensure!(count.is_some_and(|line| line.ends_with(" 1")), "{count:?}");
        Ok(())
    })
    .await
}
