//! Large request bodies at a fleet whose backend servers are slow to read them, or never do.

use std::time::Duration;

use almondsail_core::units::ByteCount;
use almondsail_testkit::harness::wait_until;
use almondsail_testkit::platform::RawStep;
use eyre::{Result, ensure};
use tokio::task::JoinSet;

use crate::{send, start};

/// Largest body of an upload on the users' platform.
const UPLOAD_BYTES: usize = 360_000;
/// Memory that a node may take while it holds as many bodies as it can: a third of that of the
/// smallest machine.
const MAX_MEMORY: ByteCount = ByteCount::new(160_000_000 / 3);

// Guards against bodies that take more memory than a node has when callers upload faster than the
// server takes them, and against a node that takes no uploads afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uploads_to_stalled_server() -> Result<()> {
    const UPLOADS: usize = 400;
    const STALL: Duration = Duration::from_secs(4);
    let (fleet, workers) = start(&["dc-a"]).await?;
    workers[0].set_script(|req| vec![RawStep::Pause(STALL), RawStep::Write(req.answer())]);
    let mut uploads = JoinSet::new();
    for n in 0..UPLOADS {
        let client = if n % 2 == 0 { fleet.caller(0)? } else { fleet.raw_caller(0)? };
        let path = format!("/unsafe/upload-{n}");
        uploads.spawn(async move { send(&client, &path, &path, &"x".repeat(UPLOAD_BYTES)).await });
    }
    let mut refused = 0;
    while let Some(reply) = uploads.join_next().await {
        // A node that refuses a body closes the connection, perhaps before all of it is written.
        let Ok(Ok(reply)) = reply else { continue };
        assert!(matches!(reply.status.as_u16(), 200 | 503 | 504), "{reply:?}");
        refused += usize::from(reply.status == 503 && reply.header("retry-after").is_some());
    }
    assert!(refused > 0, "no upload was refused with a time to come back");
    let memory = fleet.raw_usage(0)?.peak_memory;
    assert!(memory < MAX_MEMORY, "peak {memory}");
    workers[0].set_script(|req| vec![RawStep::ReadBody, RawStep::Write(req.answer())]);
    wait_until("an upload that is served", || async {
        let path = "/unsafe/after";
        let body = "x".repeat(UPLOAD_BYTES);
        let reply = send(&fleet.raw_caller(0)?, path, path, &body).await?;
        ensure!(reply.status == 200, "{}", reply.status);
        Ok(())
    })
    .await
}

// Guards against an upload that fails, runs twice, or gets other bytes in place of the rest of its
// body, when its server reads the body late, before its answer or after it.
#[tokio::test]
async fn body_read_late() -> Result<()> {
    // Longer than the time in which a connection whose bytes are not taken counts as broken.
    const PAUSE: Duration = Duration::from_millis(2_500);
    const UPLOADS: usize = 4;
    let (fleet, workers) = start(&["dc-a"]).await?;
    let mut wrong = Vec::new();
    for reads_first in [true, false] {
        workers[0].set_script(move |req| {
            let answer = RawStep::Write(req.answer());
            match reads_first {
                true => vec![RawStep::Pause(PAUSE), RawStep::ReadBody, answer],
                false => vec![answer, RawStep::Pause(PAUSE), RawStep::ReadBody],
            }
        });
        for round in 0..2 {
            let mut uploads = JoinSet::new();
            for n in 0..UPLOADS {
                let client = fleet.caller(0)?;
                let path = format!("/unsafe/{reads_first}-{round}-{n}");
                uploads.spawn(async move {
                    let reply = send(&client, &path, &path, &"x".repeat(UPLOAD_BYTES)).await;
                    (path, reply)
                });
            }
            for (path, reply) in uploads.join_all().await {
                let (status, arrivals) = (reply?.status.as_u16(), workers[0].arrivals(&path));
                if (status, arrivals) != (200, 1) {
                    wrong.push((path, status, arrivals));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    // Bytes in place of a body would arrive as the head of a request that nobody sent.
    let unknown = workers[0].paths().into_iter().find(|path| !path.starts_with('/'));
    assert_eq!(unknown, None);
    Ok(())
}
