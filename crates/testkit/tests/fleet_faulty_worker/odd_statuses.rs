//! Answers of a backend server whose status is none of a final answer.

use std::sync::atomic::{AtomicUsize, Ordering};

use almondsail_testkit::platform::RawStep;
use eyre::Result;

use crate::{send, start};

/// Statuses that no final answer may have. A node passes over informational ones, so that no final
/// answer follows; 101 ends the exchange of HTTP.
const STATUSES: [&str; 14] = [
    "000 Odd",
    "001 Odd",
    "099 Odd",
    "100 Continue",
    "101 Switching Protocols",
    "150 Odd",
    "199 Odd",
    "600 Odd",
    "999 Odd",
    "1000 Odd",
    "2000 Odd",
    "20 Odd",
    "abc Odd",
    "-20 Odd",
];
/// Headers of the answer: with a signature, as the answer to a request that ran, or as a refusal.
const HEADERS: [(&str, &str); 4] = [
    ("unsigned", ""),
    ("signed", "Almondsail-Server-Signature: s\r\n"),
    ("refused", "Almondsail-Not-Executed: 1\r\n"),
    ("both", "Almondsail-Server-Signature: s\r\nAlmondsail-Not-Executed: 1\r\n"),
];
/// Number of requests after which the retry budget allows retries.
const RETRY_BUDGET_REQUESTS: usize = 300;

// Guards against an answer whose status is not one of HTTP and that reaches the caller as an
// answer, and against one that is taken for a proof that the call has not run.
#[tokio::test]
async fn odd_status_unsafe_call() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    // Node 0 forwards the calls; the other node has the server beside it.
    let callers = [("forwarded", fleet.caller(0)?), ("local", fleet.raw_caller(0)?)];
    let mut wrong = Vec::new();
    for status in STATUSES {
        for (kind, headers) in HEADERS {
            workers[0].set_script(move |req| {
                let answer = req.response(status, headers, "odd");
                vec![RawStep::ReadBody, RawStep::Write(answer), RawStep::Close]
            });
            for (way, client) in &callers {
                let path = format!("/unsafe/{way}-{kind}-{}", status.replace(' ', "-"));
                let reply = send(client, &path, &path, "").await?;
                let arrivals = workers[0].arrivals(&path);
                // A call that has not arrived was refused for another reason.
                let is_right = match arrivals {
                    0 => reply.status == 503,
                    1 => reply.status == 502 && !reply.headers.contains_key("retry-after"),
                    _ => false,
                };
                if !is_right || reply.body.as_ref() == b"odd" {
                    wrong.push((path, status, reply.status, arrivals));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

// Guards against an idempotent call that fails for an odd status although another server would
// answer it, and against one that is retried beyond the retry budget.
#[tokio::test]
async fn odd_status_safe_call() -> Result<()> {
    let (fleet, workers) = start(&["dc-a", "dc-b"]).await?;
    let client = fleet.caller(0)?;
    for n in 0..RETRY_BUDGET_REQUESTS {
        send(&client, "/unsafe/budget", &format!("budget-{n}"), "").await?;
    }
    let (mut wrong, mut retried) = (Vec::new(), 0);
    for status in STATUSES {
        // The first server to get a request answers it with the odd status, the next one properly.
        let arrived = std::sync::Arc::new(AtomicUsize::new(0));
        for worker in &workers {
            let arrived = std::sync::Arc::clone(&arrived);
            worker.set_script(move |req| {
                let signed = "Almondsail-Server-Signature: s\r\n";
                let odd = arrived.fetch_add(1, Ordering::Relaxed) == 0;
                let answer = if odd { req.response(status, signed, "odd") } else { req.answer() };
                vec![RawStep::ReadBody, RawStep::Write(answer), RawStep::Close]
            });
        }
        let path = format!("/safe/{}", status.replace(' ', "-"));
        let reply = send(&client, &path, &path, "").await?;
        let arrivals: usize = workers.iter().map(|worker| worker.arrivals(&path)).sum();
        retried += usize::from(arrivals == 2);
        let is_right = match arrivals {
            1 => reply.status == 502,
            2 => reply.status == 200 && reply.body.as_ref() == b"ran",
            _ => false,
        };
        if !is_right {
            wrong.push((path, reply.status, arrivals));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(retried > 0, "no call was retried");
    Ok(())
}
