//! Tests of a fleet whose backend servers write answers again, or bytes without end.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use almondsail_core::units::ByteCount;
use almondsail_testkit::harness::{WAIT_TIMEOUT, wait_until};
use almondsail_testkit::http::{HttpClient, Reply};
use almondsail_testkit::platform::{Fleet, RawRequest, RawStep, RawWorker};
use bytes::Bytes;
use eyre::{Result, ensure};
use http::Method;
use tokio::task::JoinSet;

const SERVICES: [&str; 2] = ["traslados", "bays"];
/// Run time of the requests that a raw worker runs.
const RUN_TIME: Duration = Duration::from_millis(150);
/// Memory of the smallest machine on which a node runs.
const NODE_MEMORY: ByteCount = ByteCount::new(160_000_000);
/// Number of requests that a worker runs at a time.
const SLOTS: usize = 12;
/// Time within which a request with an endless answer must fail; its deadline is later.
const MAX_ENDLESS_TIME: Duration = Duration::from_secs(8);
/// Number of requests after which the retry budget allows retries.
const RETRY_BUDGET_REQUESTS: usize = 300;
const DEADLINE_MS: &str = "15000";

/// Starts a node with a proper worker of the service `traslados`, and one node with a raw worker of
/// the service `bays` in each of `data_centres`, which are equally far from the first node.
async fn start(data_centres: &[&str]) -> Result<(Fleet, Vec<RawWorker>)> {
    let mut fleet = Fleet::start(&["dc-c"], &["traslados"]).await?;
    let mut workers = Vec::new();
    for data_centre in data_centres {
        workers.push(fleet.add_raw_node(data_centre, "bays").await?);
    }
    fleet.configure(1, &SERVICES);
    fleet.wait_until_ready(0).await?;
    for service in SERVICES {
        fleet.wait_until_served(0, service).await?;
    }
    wait_until("requests at all raw workers", || async {
        let path = "/safe/start";
        ensure!(send(&fleet.caller(0)?, path, "start", "").await?.status == 200);
        ensure!(workers.iter().all(|worker| worker.arrivals(path) > 0));
        Ok(())
    })
    .await?;
    Ok((fleet, workers))
}

/// Sends a request to the service `bays`. The id is left out if it is empty.
async fn send(client: &HttpClient, path: &str, id: &str, body: &str) -> Result<Reply> {
    let method = if path.starts_with("/safe/") { Method::GET } else { Method::POST };
    let mut headers = vec![("host", "bays.example"), ("almondsail-deadline-ms", DEADLINE_MS)];
    if !id.is_empty() {
        headers.push(("almondsail-attempt-id", id));
    }
    client.send(method, path, body.to_owned().into(), &headers).await
}

/// When a worker writes the last refusal of a connection once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeat {
    /// While no request is under way on the connection.
    Idle,
    /// When the head of the next request has arrived, and its body has not been read.
    WhileSent,
    /// When the next request has arrived and runs.
    WhileRun,
}

/// Refuses the first arrival of a request whose path contains `refuse` with `refusal`, and runs all
/// others. Writes the last refusal of a connection again as `repeat` says.
fn repeat_refusals(
    repeat: Repeat,
    refusal: Refusal,
) -> impl Fn(&RawRequest) -> Vec<RawStep> + Clone + Send + Sync + 'static {
    let refused: Arc<Mutex<HashSet<String>>> = Arc::default();
    let refusals: Arc<Mutex<HashMap<(SocketAddr, usize), Bytes>>> = Arc::default();
    move |req| {
        let mut refusals = refusals.lock().expect("not poisoned");
        let mut refused = refused.lock().expect("not poisoned");
        if req.path.contains("refuse") && refused.insert(req.path.clone()) {
            let refusal = refusal(req);
            refusals.insert((req.worker, req.connection), refusal.clone());
            let mut steps = vec![RawStep::ReadBody, RawStep::Write(refusal.clone())];
            if repeat == Repeat::Idle {
                steps.extend([RawStep::Pause(RUN_TIME / 10), RawStep::Write(refusal)]);
            }
            return steps;
        }
        let again = refusals.remove(&(req.worker, req.connection)).map(RawStep::Write);
        let again = again.filter(|_| repeat != Repeat::Idle);
        let mut steps = match repeat {
            Repeat::WhileRun => vec![RawStep::ReadBody],
            Repeat::Idle | Repeat::WhileSent => Vec::new(),
        };
        steps.extend(again);
        steps.extend([RawStep::Pause(RUN_TIME), RawStep::ReadBody, RawStep::Write(req.answer())]);
        steps
    }
}

/// A way in which a worker writes that it refuses a request.
type Refusal = fn(&RawRequest) -> Bytes;

/// All kinds of refusals, with and without the attempt's id.
const REFUSALS: [(&str, Refusal); 6] = [
    ("503 with id", |req| req.response("503 Service Unavailable", NOT_EXECUTED, "")),
    ("429 with id", |req| req.response("429 Too Many Requests", NOT_EXECUTED, "")),
    ("421 with id", |req| req.response("421 Misdirected Request", OTHER_INSTANCE, "")),
    ("503 without id", |_| without_id("503 Service Unavailable", NOT_EXECUTED)),
    ("429 without id", |_| without_id("429 Too Many Requests", NOT_EXECUTED)),
    ("421 without id", |_| without_id("421 Misdirected Request", OTHER_INSTANCE)),
];
const NOT_EXECUTED: &str = "Almondsail-Not-Executed: 1\r\n";
const OTHER_INSTANCE: &str = "Almondsail-Instance-Id: i-other\r\n";

fn without_id(status: &str, header: &str) -> Bytes {
    format!("HTTP/1.1 {status}\r\n{header}Content-Length: 0\r\n\r\n").into()
}

/// A request that was sent: the status of its answer, and how often it arrived at a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    path: String,
    status: u16,
    arrivals: usize,
}

/// Sends a request for `path`, which is also its id.
async fn send_counted(
    client: &HttpClient,
    workers: &[RawWorker],
    path: String,
    body: &str,
) -> Result<Sent> {
    let status = send(client, &path, &path, body).await?.status.as_u16();
    let arrivals = workers.iter().map(|worker| worker.arrivals(&path)).sum();
    Ok(Sent { path, status, arrivals })
}

/// Sends requests on new paths under `prefix`, until one arrives at a worker.
async fn send_until_arrived(
    client: &HttpClient,
    workers: &[RawWorker],
    prefix: &str,
    body: &str,
) -> Result<Sent> {
    let mut tries = 0;
    wait_until("a request that arrives", || {
        tries += 1;
        let path = format!("{prefix}-{tries}");
        async move {
            let sent = send_counted(client, workers, path, body).await?;
            ensure!(sent.arrivals > 0, "{sent:?}");
            Ok(sent)
        }
    })
    .await
}

/// Sends so many requests at a time on new paths under `prefix` that all workers get some.
async fn send_concurrently(
    client: &HttpClient,
    workers: &[RawWorker],
    prefix: &str,
    body: &str,
) -> Result<Vec<Sent>> {
    let [a, b, c, d, e, f] = [0, 1, 2, 3, 4, 5]
        .map(|n| send_counted(client, workers, format!("{prefix}-run-{n}"), body));
    let (a, b, c, d, e, f) = tokio::try_join!(a, b, c, d, e, f)?;
    Ok(vec![a, b, c, d, e, f])
}

/// Waits until the workers have written all that their scripts say.
async fn wait_until_idle(workers: &[RawWorker]) -> Result<()> {
    wait_until("idle workers", || async {
        ensure!(workers.iter().all(|worker| worker.busy_requests() == 0));
        Ok(())
    })
    .await
}

// Guards against an earlier refusal, written once more on a kept connection, that is taken for the
// answer to a request that runs: the caller is told that it has not run, or it runs again.
#[tokio::test]
async fn refusal_repeated() -> Result<()> {
    let (fleet, workers) = start(&["dc-a", "dc-b"]).await?;
    let client = fleet.caller(0)?;
    for n in 0..RETRY_BUDGET_REQUESTS {
        send(&client, "/unsafe/budget", &format!("budget-{n}"), "").await?;
    }
    let mut wrong = Vec::new();
    for (name, refusal) in REFUSALS {
        for repeat in [Repeat::Idle, Repeat::WhileSent, Repeat::WhileRun] {
            for kind in ["unsafe", "safe"] {
                let script = repeat_refusals(repeat, refusal);
                workers.iter().for_each(|worker| worker.set_script(script.clone()));
                let case = format!("/{kind}/{name}-{repeat:?}").replace(' ', "-");
                send_until_arrived(&client, &workers, &format!("{case}-refuse"), "").await?;
                wait_until_idle(&workers).await?;
                let body = "x".repeat(if repeat == Repeat::WhileSent { 90_000 } else { 1 });
                let sent = send_concurrently(&client, &workers, &case, &body).await?;
                let is_right = |sent: &Sent| match (kind, repeat) {
                    (_, _) if sent.arrivals == 0 => sent.status == 503,
                    // A safe request may also arrive at the second worker.
                    ("safe", Repeat::Idle) => sent.status == 200,
                    ("safe", _) => matches!(sent.status, 200 | 502),
                    (_, Repeat::Idle) => sent.status == 200 && sent.arrivals == 1,
                    _ => matches!(sent.status, 200 | 502) && sent.arrivals == 1,
                };
                wrong.extend(sent.into_iter().filter(|sent| !is_right(sent)));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

// Guards against the use of a connection after an answer to another request: the answer that is
// still to come would be taken for that of the next request.
#[tokio::test]
async fn connection_after_foreign_answer() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    let client = fleet.caller(0)?;
    let mut wrong = Vec::new();
    for (name, refusal) in REFUSALS {
        workers[0].set_script(repeat_refusals(Repeat::WhileRun, refusal));
        let case = format!("/unsafe/{name}").replace(' ', "-");
        send_until_arrived(&client, &workers, &format!("{case}-refuse"), "").await?;
        let first = send_until_arrived(&client, &workers, &format!("{case}-run"), "").await?;
        let next = send_until_arrived(&client, &workers, &format!("{case}-next"), "").await?;
        if next.status != 200 {
            wrong.push((first, next));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

// Guards against an informational response that is taken for the answer.
#[tokio::test]
async fn informational_before_answer() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    workers[0].set_script(|req| {
        let early = req.response("103 Early Hints", NOT_EXECUTED, "");
        let early = String::from_utf8_lossy(&early).replace("Content-Length: 0\r\n", "");
        vec![RawStep::Write(early.into()), RawStep::Pause(RUN_TIME), RawStep::Write(req.answer())]
    });
    let sent = send_counted(&fleet.caller(0)?, &workers, "/unsafe/early".into(), "").await?;
    assert_eq!((sent.status, sent.arrivals), (200, 1));
    Ok(())
}

// Guards against a request without an id whose refusal, which has no id either, is not believed, or
// is believed again for the next request on the connection.
#[tokio::test]
async fn refusal_caller_without_id() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    let client = fleet.caller(0)?;
    workers[0].set_script(repeat_refusals(Repeat::WhileRun, |_| {
        without_id("400 Bad Request", NOT_EXECUTED)
    }));
    let refused = send(&client, "/unsafe/refuse", "", "").await?;
    assert_eq!((refused.status.as_u16(), workers[0].arrivals("/unsafe/refuse")), (503, 1));
    let next = send_until_arrived(&client, &workers, "/unsafe/run", "").await?;
    assert_eq!((next.status, next.arrivals), (200, 1));
    Ok(())
}

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
