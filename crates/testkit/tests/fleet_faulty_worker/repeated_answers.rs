//! Answers of a backend server that belong to another request.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::platform::{RawRequest, RawStep, RawWorker};
use bytes::Bytes;
use eyre::{Result, ensure};

use crate::{send, start};

/// Run time of the requests that a raw worker runs.
const RUN_TIME: Duration = Duration::from_millis(150);
/// Number of requests after which the retry budget allows retries.
const RETRY_BUDGET_REQUESTS: usize = 300;

/// When a worker writes an earlier answer of a connection once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeat {
    /// While no request is under way on the connection.
    Idle,
    /// When the head of the next request has arrived, and its body has not been read.
    WhileSent,
    /// When the next request has arrived and runs.
    WhileRun,
}

/// Answers the first arrival of a request whose path contains `first` with `earlier`, and runs all
/// others. Writes the last earlier answer of a connection again as `repeat` says.
fn repeat_answers(
    repeat: Repeat,
    earlier: EarlierAnswer,
) -> impl Fn(&RawRequest) -> Vec<RawStep> + Clone + Send + Sync + 'static {
    let answered: Arc<Mutex<HashSet<String>>> = Arc::default();
    let answers: Arc<Mutex<HashMap<(SocketAddr, usize), Bytes>>> = Arc::default();
    move |req| {
        let mut answers = answers.lock().expect("not poisoned");
        let mut answered = answered.lock().expect("not poisoned");
        if req.path.contains("first") && answered.insert(req.path.clone()) {
            let answer = earlier(req);
            answers.insert((req.worker, req.connection), answer.clone());
            let mut steps = vec![RawStep::ReadBody, RawStep::Write(answer.clone())];
            if repeat == Repeat::Idle {
                steps.extend([RawStep::Pause(RUN_TIME / 10), RawStep::Write(answer)]);
            }
            return steps;
        }
        let again = answers.remove(&(req.worker, req.connection)).map(RawStep::Write);
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

/// A way in which a worker answers a request or refuses it.
type EarlierAnswer = fn(&RawRequest) -> Bytes;

/// All kinds of refusals, with and without the attempt's id.
const REFUSALS: [(&str, EarlierAnswer); 6] = [
    ("503 with id", |req| req.response("503 Service Unavailable", NOT_EXECUTED, "")),
    ("429 with id", |req| req.response("429 Too Many Requests", NOT_EXECUTED, "")),
    ("421 with id", |req| req.response("421 Misdirected Request", OTHER_INSTANCE, "")),
    ("503 without id", |_| without_id("503 Service Unavailable", NOT_EXECUTED)),
    ("429 without id", |_| without_id("429 Too Many Requests", NOT_EXECUTED)),
    ("421 without id", |_| without_id("421 Misdirected Request", OTHER_INSTANCE)),
];
const NOT_EXECUTED: &str = "Almondsail-Not-Executed: 1\r\n";
const SIGNED: &str = "Almondsail-Server-Signature: s\r\n";
const OTHER_INSTANCE: &str = "Almondsail-Instance-Id: i-other\r\n";

fn without_id(status: &str, header: &str) -> Bytes {
    format!("HTTP/1.1 {status}\r\n{header}Content-Length: 0\r\n\r\n").into()
}

/// A request that was sent: the status of its answer, and how often it arrived at a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sent {
    path: String,
    status: u16,
    body: String,
    arrivals: usize,
}

/// Sends a request for `path`, which is also its id.
async fn send_counted(
    client: &HttpClient,
    workers: &[RawWorker],
    path: String,
    body: &str,
) -> Result<Sent> {
    let reply = send(client, &path, &path, body).await?;
    let arrivals = workers.iter().map(|worker| worker.arrivals(&path)).sum();
    let body = String::from_utf8_lossy(&reply.body).into_owned();
    Ok(Sent { path, status: reply.status.as_u16(), body, arrivals })
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
                let script = repeat_answers(repeat, refusal);
                workers.iter().for_each(|worker| worker.set_script(script.clone()));
                let case = format!("/{kind}/{name}-{repeat:?}").replace(' ', "-");
                send_until_arrived(&client, &workers, &format!("{case}-first"), "").await?;
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

// Guards against a second copy of an answer that arrives when its connection is in use again: the
// next caller must get its own answer, and not the copy or a failure.
#[tokio::test]
async fn answer_repeated() -> Result<()> {
    const EARLIER: [(&str, EarlierAnswer); 3] = [
        ("answer", |req| req.response("200 OK", SIGNED, "earlier")),
        ("failure", |req| req.response("500 Internal Server Error", SIGNED, "earlier")),
        ("no-content", |req| req.response("204 No Content", SIGNED, "")),
    ];
    let (fleet, workers) = start(&["dc-a", "dc-b"]).await?;
    let client = fleet.caller(0)?;
    let mut wrong = Vec::new();
    for (name, earlier) in EARLIER {
        for repeat in [Repeat::Idle, Repeat::WhileSent, Repeat::WhileRun] {
            let script = repeat_answers(repeat, earlier);
            workers.iter().for_each(|worker| worker.set_script(script.clone()));
            let case = format!("/unsafe/{name}-{repeat:?}");
            send_until_arrived(&client, &workers, &format!("{case}-first"), "").await?;
            wait_until_idle(&workers).await?;
            let body = "x".repeat(if repeat == Repeat::WhileSent { 90_000 } else { 1 });
            let sent = send_concurrently(&client, &workers, &case, &body).await?;
            let is_right =
                |sent: &Sent| (sent.status, sent.body.as_str(), sent.arrivals) == (200, "ran", 1);
            wrong.extend(sent.into_iter().filter(|sent| sent.arrivals > 0 && !is_right(sent)));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}

// Guards against a request that fails although its server runs and answers it, because an earlier
// refusal was written once more before its answer.
#[tokio::test]
async fn foreign_answer_before_own() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    let client = fleet.caller(0)?;
    let (_, refusal) = REFUSALS[0];
    workers[0].set_script(repeat_answers(Repeat::WhileRun, refusal));
    send_until_arrived(&client, &workers, "/unsafe/first", "").await?;
    let sent = send_until_arrived(&client, &workers, "/unsafe/run", "").await?;
    assert_eq!((sent.status, sent.arrivals), (200, 1), "{sent:?}");
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
        workers[0].set_script(repeat_answers(Repeat::WhileRun, refusal));
        let case = format!("/unsafe/{name}").replace(' ', "-");
        send_until_arrived(&client, &workers, &format!("{case}-first"), "").await?;
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
    workers[0].set_script(repeat_answers(Repeat::WhileRun, |_| {
        without_id("400 Bad Request", NOT_EXECUTED)
    }));
    let refused = send(&client, "/unsafe/first", "", "").await?;
    assert_eq!((refused.status.as_u16(), workers[0].arrivals("/unsafe/first")), (503, 1));
    let next = send_until_arrived(&client, &workers, "/unsafe/run", "").await?;
    assert_eq!((next.status, next.arrivals), (200, 1));
    Ok(())
}
