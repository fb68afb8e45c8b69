//! Large answers that a caller can't be sent yet.

use std::time::Duration;

use almondsail_core::units::ByteCount;
use almondsail_testkit::harness::wait_until;
use almondsail_testkit::platform::RawStep;
use eyre::{Result, ensure};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::{DEADLINE_MS, send, start};

/// Memory of the smallest machine on which a node runs.
const NODE_MEMORY: ByteCount = ByteCount::new(160_000_000);
const ANSWER_BYTES: usize = 3_000_000;
/// Callers whose first request stays at the server. It has 12 slots, so it can still run others.
const CALLERS: usize = 8;
/// Requests for large answers that each caller sends behind its first one.
const LARGE_REQUESTS: usize = 12;
/// How long a first request runs.
const RUN_TIME: Duration = Duration::from_secs(12);

async fn write_request(stream: &mut TcpStream, path: &str) -> Result<()> {
    let req = format!(
        "GET {path} HTTP/1.1\r\nHost: bays.example\r\nAlmondsail-Deadline-Ms: {DEADLINE_MS}\r\n\
         Almondsail-Attempt-Id: {path}\r\n\r\n"
    );
    Ok(stream.write_all(req.as_bytes()).await?)
}

// Guards against answers that take more memory than a node has while they wait for an earlier answer
// of their connection or for a caller that reads slowly, and against short answers to other callers
// that fail meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answers_wait() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    let body = "x".repeat(ANSWER_BYTES);
    workers[0].set_script(move |req| {
        let is_large = req.path.starts_with("/safe/large");
        let pause = if req.path.starts_with("/safe/first") { RUN_TIME } else { Duration::ZERO };
        let body = if is_large { body.as_str() } else { "short" };
        let answer = req.response("200 OK", "Almondsail-Server-Signature: s\r\n", body);
        vec![RawStep::Pause(pause), RawStep::Write(answer)]
    });
    let mut callers = Vec::new();
    for n in 0..CALLERS {
        let mut stream = TcpStream::connect(fleet.address(0, "callers")?).await?;
        write_request(&mut stream, &format!("/safe/first-{n}")).await?;
        callers.push(stream);
    }
    for k in 0..LARGE_REQUESTS {
        for (n, stream) in callers.iter_mut().enumerate() {
            let path = format!("/safe/large-{n}-{k}");
            write_request(stream, &path).await?;
            // One after the other: many at the same time would be cut while they arrive.
            wait_until("the answer at the node", || async {
                ensure!(workers[0].arrivals(&path) > 0, "no arrival");
                ensure!(workers[0].busy_requests() <= CALLERS, "the answer is being written");
                Ok(())
            })
            .await?;
        }
    }
    for n in 0..20 {
        let path = format!("/safe/short-{n}");
        let reply = send(&fleet.caller(0)?, &path, &path, "").await?;
        assert_eq!(reply.status, 200, "{path}");
    }
    let memory = [fleet.usage(0)?.peak_memory, fleet.raw_usage(0)?.peak_memory];
    println!("peaks {memory:?}");
    assert!(memory.iter().all(|memory| *memory < NODE_MEMORY), "peaks {memory:?}");
    Ok(())
}
