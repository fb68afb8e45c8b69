//! Calls that are sent to a second server because the first one is slow.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use almondsail_testkit::platform::RawStep;
use eyre::Result;

use crate::{send, start};

/// Number of requests after which the retry budget allows retries.
const RETRY_BUDGET_REQUESTS: usize = 300;
/// How long a server holds a request before it refuses it; a call is presumed lost before.
const HELD: Duration = Duration::from_secs(4);
/// Number of calls of which one at least must be sent to a second server.
const CALLS: usize = 4;

// Guards against a call that was sent to two servers, of which the second ran it and lost the
// answer, and the first refused it later: the caller must not be told that it has not run.
#[tokio::test]
async fn second_answer_lost_first_refused() -> Result<()> {
    let (fleet, workers) = start(&["dc-a", "dc-b"]).await?;
    let client = fleet.caller(0)?;
    for n in 0..RETRY_BUDGET_REQUESTS {
        send(&client, "/safe/budget", &format!("budget-{n}"), "").await?;
    }
    let (mut hedged, mut wrong) = (0, Vec::new());
    for n in 0..CALLS {
        let arrived = Arc::new(AtomicUsize::new(0));
        for worker in &workers {
            let arrived = Arc::clone(&arrived);
            worker.set_script(move |req| {
                let refusal = "Almondsail-Not-Executed: 1\r\n";
                let refusal = req.response("503 Service Unavailable", refusal, "");
                match arrived.fetch_add(1, Ordering::Relaxed) {
                    0 => vec![RawStep::Pause(HELD), RawStep::Write(refusal)],
                    _ => vec![RawStep::ReadBody, RawStep::Close],
                }
            });
        }
        let path = format!("/safe/hedged-{n}");
        let reply = send(&client, &path, &path, "").await?;
        let arrivals: usize = workers.iter().map(|worker| worker.arrivals(&path)).sum();
        hedged += usize::from(arrivals == 2);
        if arrivals == 2 && reply.status != 502 {
            wrong.push((path, reply.status));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(hedged > 0, "no call was sent to a second server");
    Ok(())
}
