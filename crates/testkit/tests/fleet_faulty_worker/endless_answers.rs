//! Answers of a backend server that do not end.

use std::time::{Duration, Instant};

use almondsail_core::units::ByteCount;
use almondsail_testkit::harness::{WAIT_TIMEOUT, wait_until};
use almondsail_testkit::platform::{Fleet, RawRequest, RawStep, RawWorker};
use bytes::Bytes;
use eyre::{Result, ensure};
use http::Method;
use tokio::task::JoinSet;

use crate::{send, start};

/// Memory of the smallest machine on which a node runs.
const NODE_MEMORY: ByteCount = ByteCount::new(160_000_000);
/// Number of requests that a worker runs at a time.
const SLOTS: usize = 12;
/// Time within which a request with an endless answer must fail; its deadline is later.
const MAX_ENDLESS_TIME: Duration = Duration::from_secs(8);

/// Endless answers: a beginning, and what follows it again and again.
const ENDLESS: [(&str, &str, &str); 13] = [
    ("status line", "HTTP/1.1 200 ", "very "),
    ("header", "HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxxxxxxxxxx"),
    ("headers", "HTTP/1.1 200 OK\r\n", "X-Another: x\r\n"),
    ("no HTTP", "", "garbage without a line end "),
    ("line ends", "", "\r\n"),
    ("length", "Content-Length: 1000000000000000\r\n\r\n", "xxxxxxxxxxxxxxxx"),
    ("unframed", "\r\n", "xxxxxxxxxxxxxxxx"),
    ("small chunks", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ("large chunk", "Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n", "xxxxxxxxxxxxxxxx"),
    ("chunk extension", "Transfer-Encoding: chunked\r\n\r\n1;x=", "xxxxxxxxxxxxxxxx"),
    ("chunk size", "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000"),
    ("trailers", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Another: x\r\n"),
    ("informational", "", "HTTP/1.1 100 Continue\r\n\r\n"),
];

/// Returns the start of an endless answer to `req`; a signed head is put before one that has none.
fn endless_start(req: &RawRequest, start: &str) -> Bytes {
    if start.is_empty() || start.starts_with("HTTP/") {
        return start.to_owned().into();
    }
    let head = "HTTP/1.1 200 OK\r\nAlmondsail-Server-Signature: s\r\nAlmondsail-Attempt-Id:";
    format!("{head} {}\r\n{start}", req.id).into()
}

/// Sends as many requests as the worker has slots at the same time. Returns their statuses; an
/// error if not all are answered within `timeout`.
async fn send_to_all_slots(fleet: &Fleet, path: &str, timeout: Duration) -> Result<Vec<u16>> {
    let mut calls = JoinSet::new();
    for n in 0..SLOTS {
        // The callers of both nodes send, so that answers also arrive through another node.
        let client = if n % 2 == 0 { fleet.caller(0)? } else { fleet.raw_caller(0)? };
        let (path, id) = (path.to_owned(), format!("{path}-{n}"));
        calls.spawn(async move { send(&client, &path, &id, "").await });
    }
    let replies = tokio::time::timeout(timeout, calls.join_all()).await?;
    replies.into_iter().map(|reply| Ok(reply?.status.as_u16())).collect()
}

/// Returns an error unless all slots of the raw worker's node are free and its connections to the
/// worker are closed soon.
async fn check_free_slots(fleet: &Fleet, worker: &RawWorker, path: &str) -> Result<()> {
    wait_until("closed connections", || async {
        ensure!(worker.open_connections() == 0, "{} open", worker.open_connections());
        Ok(())
    })
    .await?;
    worker.set_script(|req| vec![RawStep::Write(req.answer())]);
    wait_until("free slots", || async {
        let statuses = send_to_all_slots(fleet, path, WAIT_TIMEOUT).await?;
        ensure!(statuses == [200; SLOTS], "{statuses:?}");
        Ok(())
    })
    .await
}

// Guards against answers without end that hold a slot until the deadline, keep the node busy, or
// take more memory than a node has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_without_end() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    let mut wrong = Vec::new();
    for (name, start, rest) in ENDLESS {
        let rest = Bytes::from(rest.repeat(64 * 1024 / rest.len()));
        workers[0].set_script(move |req| {
            let start = RawStep::Write(endless_start(req, start));
            vec![start, RawStep::Repeat(rest.clone(), Duration::ZERO)]
        });
        let path = format!("/unsafe/{name}").replace(' ', "-");
        let started = Instant::now();
        let statuses = send_to_all_slots(&fleet, &path, MAX_ENDLESS_TIME).await;
        let (took, memory) = (started.elapsed(), fleet.raw_usage(0)?.peak_memory);
        println!("{name}: {took:?}, peak {memory}");
        if !statuses.as_ref().is_ok_and(|statuses| statuses == &[502; SLOTS]) {
            wrong.push(format!("{name}: {statuses:?} after {took:?}"));
        }
        if memory > NODE_MEMORY {
            wrong.push(format!("{name}: peak {memory}"));
        }
        check_free_slots(&fleet, &workers[0], &format!("{path}-after")).await?;
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

// Guards against small pieces of an answer that take far more memory than their bytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_in_single_bytes() -> Result<()> {
    const DRIP_TIME: Duration = Duration::from_secs(6);
    let (fleet, workers) = start(&["dc-a"]).await?;
    workers[0].set_script(|req| {
        let start = endless_start(req, "Content-Length: 900000\r\n\r\n");
        let drip = RawStep::Repeat("x".into(), Duration::from_micros(100));
        vec![RawStep::Write(start), drip]
    });
    let statuses = send_to_all_slots(&fleet, "/unsafe/drip", DRIP_TIME).await;
    assert!(statuses.is_err(), "{statuses:?}");
    let memory = fleet.raw_usage(0)?.peak_memory;
    assert!(memory < NODE_MEMORY, "peak {memory}");
    check_free_slots(&fleet, &workers[0], "/unsafe/drip-after").await
}

// Guards against proper answers of up to a megabyte that are cut, also in all slots at a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_a_megabyte() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    workers[0].set_script(|req| {
        let headers = "Almondsail-Server-Signature: s\r\n";
        vec![RawStep::Write(req.response("200 OK", headers, &"x".repeat(1024 * 1024)))]
    });
    let statuses = send_to_all_slots(&fleet, "/unsafe/large", WAIT_TIMEOUT).await?;
    assert_eq!(statuses, [200; SLOTS]);
    Ok(())
}

// Guards against endless answers, at more requests than the worker has slots, that take the memory
// of the node beside it or of the entry node, or fail calls to other servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_beside_endless_answers() -> Result<()> {
    const REQUESTS: usize = 60;
    let (fleet, workers) = start(&["dc-a"]).await?;
    for (name, start, rest) in ENDLESS {
        let rest = Bytes::from(rest.repeat(64 * 1024 / rest.len()));
        workers[0].set_script(move |req| {
            let start = RawStep::Write(endless_start(req, start));
            vec![start, RawStep::Repeat(rest.clone(), Duration::ZERO)]
        });
        let mut endless = JoinSet::new();
        for n in 0..REQUESTS {
            let client = if n % 2 == 0 { fleet.caller(0)? } else { fleet.raw_caller(0)? };
            let path = format!("/unsafe/{name}-{n}").replace(' ', "-");
            endless.spawn(async move { send(&client, &path, &path, "").await });
        }
        for n in 0..20 {
            let client = if n % 2 == 0 { fleet.caller(0)? } else { fleet.raw_caller(0)? };
            let id = format!("beside-{name}-{n}").replace(' ', "-");
            let headers = [("host", "traslados.example"), ("almondsail-attempt-id", id.as_str())];
            let reply = client.send(Method::GET, "/safe/beside", Bytes::new(), &headers).await?;
            assert_eq!(reply.status, 200, "{id}");
        }
        for reply in endless.join_all().await {
            let status = reply?.status.as_u16();
            assert!(matches!(status, 502..=504), "{name}: {status}");
        }
    }
    let memory = [fleet.usage(0)?.peak_memory, fleet.raw_usage(0)?.peak_memory];
    assert!(memory.iter().all(|memory| *memory < NODE_MEMORY), "peaks {memory:?}");
    Ok(())
}
