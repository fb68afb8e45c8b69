//! Tests of the operators' HTTP API with a fake control thread.

mod operators_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use almondsail_core::store::{Outcome, RefusedChange};
use almondsail_node::control::control_request::ControlRequest;
use operators_support::{FakeControl, OperatorServer, TOKEN};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Serves the operators' API with a counter of its errors and a queue of `queue` requests.
async fn serve(queue: usize) -> (OperatorServer, Arc<AtomicUsize>, mpsc::Receiver<ControlRequest>) {
    let errors = Arc::new(AtomicUsize::new(0));
    let counted = errors.clone();
    let on_error = move |_: &_| {
        counted.fetch_add(1, Ordering::Relaxed);
    };
    let (server, requests) = operators_support::serve(queue, Box::new(on_error)).await;
    (server, errors, requests)
}

/// Sends a request and returns the status and body of the response.
pub async fn call(addr: SocketAddr, head: &str, token: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let text = format!(
        "{head} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\
         Authorization: Bearer {token}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // The node may reset a connection whose request body it has not read; the response received
    // until then counts.
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    (status, body.to_owned())
}

const WRITE_ID: &str = "000102030405060708090a0b0c0d0e0f";

fn create_service(write_id: &str) -> String {
    format!(
        r#"{{"command":{{"command":{{"create_service":{{"name":"bays","team":"depots"}}}}}},"write_id":"{write_id}"}}"#
    )
}

/// Guards against a break between the request, the control thread and the response.
#[tokio::test]
async fn commands_and_queries_answered() {
    let (server, errors, requests) = serve(8).await;
    tokio::spawn(FakeControl::default().run(requests));
    let accepted = (200, r#"{"outcome":{"accepted":1}}"#.to_owned());
    assert_eq!(
        call(server.addr, "POST /v1/commands", TOKEN, &create_service(WRITE_ID)).await,
        accepted
    );
    // A repeat with the same write id has no second effect.
    assert_eq!(
        call(server.addr, "POST /v1/commands", TOKEN, &create_service(WRITE_ID)).await,
        accepted
    );
    let path = format!("GET /v1/outcomes/{WRITE_ID}");
    assert_eq!(call(server.addr, &path, TOKEN, "").await, accepted);

    let (status, body) =
        call(server.addr, "POST /v1/queries", TOKEN, r#"{"query":{"services":{}}}"#).await;
    assert_eq!(status, 200);
    assert_eq!(
        body,
        r#"{"node":"n1","version":1,"body":{"services":{"services":[{"name":"bays","team":"depots","stable":""}]}}}"#
    );

    let (status, body) =
        call(server.addr, "POST /v1/commands", TOKEN, &create_service(&WRITE_ID.replace('0', "f")))
            .await;
    assert_eq!(status, 200);
    assert!(body.contains(r#""code":"invalid","message":"service bays exists already""#), "{body}");
    assert_eq!(errors.load(Ordering::Relaxed), 0);
}

/// Guards against executing a request without a valid operator's token.
#[tokio::test]
async fn commands_without_token() {
    let (server, errors, mut requests) = serve(8).await;
    for token in ["", "token-of-an", "token-of-ana2", "token of ana"] {
        let (status, body) =
            call(server.addr, "POST /v1/commands", token, &create_service(WRITE_ID)).await;
        assert_eq!(status, 401, "token {token:?}");
        assert!(body.contains(r#""code":"token_"#), "{body}");
    }
    assert_eq!(errors.load(Ordering::Relaxed), 4);
    assert!(requests.try_recv().is_err(), "the control thread got a request");
}

/// Guards against submitting a change under the wrong operator or team.
#[tokio::test]
async fn commands_carry_operator() {
    let (server, _, mut requests) = serve(8).await;
    let body = create_service(WRITE_ID);
    let sent = call(server.addr, "POST /v1/commands", "token-of-bo", &body);
    let answer = async {
        let Some(ControlRequest::Submit(submission, reply)) = requests.recv().await else {
            panic!("no submission");
        };
        assert_eq!(submission.operator.as_str(), "bo");
        assert_eq!(submission.team.as_ref().map(|m| m.as_str()), Some("wellboats"));
        assert_eq!(submission.write_id.to_string(), WRITE_ID);
        drop(reply);
    };
    // A control thread that drops the reply channel may have submitted the change.
    let ((status, body), ()) = tokio::join!(sent, answer);
    assert_eq!((status, body), (200, format!(r#"{{"outcome":{{"unknown":"{WRITE_ID}"}}}}"#)));
}

/// Guards against a bad request whose response lacks code and cause, or that is not counted.
#[tokio::test]
async fn bad_requests_described() {
    let (server, errors, mut requests) = serve(8).await;
    let large = " ".repeat(1_000_001);
    let bad_id = create_service("12");
    let cases = [
        ("POST /v1/commands", "{", 400, r#"{"code":"bad_json""#, r#""field":"""#),
        (
            "POST /v1/commands",
            "{\"colour\":1}",
            400,
            r#"{"code":"bad_json""#,
            "unknown field `colour`",
        ),
        ("POST /v1/commands", &bad_id, 400, r#"{"code":"bad_field""#, r#""field":"write_id""#),
        (
            "POST /v1/queries",
            r#"{"query":{"nodes":{"data_centre":"DC"}}}"#,
            400,
            r#"{"code":"bad_field""#,
            r#""field":"nodes.data_centre""#,
        ),
        ("POST /v1/queries", &large, 413, r#"{"code":"body_too_large""#, "larger than 1 MB"),
        ("GET /v1/outcomes/xyz", "", 400, r#"{"code":"bad_field""#, r#""field":"write_id""#),
        ("GET /v1/commands", "", 405, r#"{"code":"wrong_method""#, ""),
        ("GET /v1/report?team=depots", "", 400, r#"{"code":"bad_field""#, r#""field":"since""#),
        ("GET /v1/report?team=%ff&since=%fe", "", 400, r#"{"code":"bad_parameters""#, ""),
        ("GET /v1/outcomes/%ff", "", 404, r#"{"code":"no_such_path""#, ""),
        ("GET /v1/nothing", "", 404, r#"{"code":"no_such_path""#, ""),
    ];
    let count = cases.len();
    for (head, body, status, start, part) in cases {
        let (got, text) = call(server.addr, head, TOKEN, body).await;
        assert_eq!(got, status, "{head}: {text}");
        assert!(text.starts_with(start) && text.contains(part), "{head}: {text}");
    }
    assert_eq!(errors.load(Ordering::Relaxed), count);
    assert!(requests.try_recv().is_err(), "the control thread got a request");
}

/// Guards against an unbounded queue, and against an unknown outcome for a refused change.
#[tokio::test]
async fn commands_refused_when_busy_or_stopping() {
    let (server, _, requests) = serve(1).await;
    let first = tokio::spawn(call_owned(server.addr, create_service(WRITE_ID)));
    while requests.is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let (status, body) =
        call(server.addr, "POST /v1/commands", TOKEN, &create_service(WRITE_ID)).await;
    assert_eq!(status, 503);
    assert!(body.contains(r#""code":"busy""#), "{body}");
    drop(requests);
    first.await.unwrap();
    let (status, body) =
        call(server.addr, "POST /v1/commands", TOKEN, &create_service(WRITE_ID)).await;
    assert_eq!(status, 503);
    assert!(body.contains(r#""code":"stopping""#), "{body}");
}

async fn call_owned(addr: SocketAddr, body: String) {
    call(addr, "POST /v1/commands", TOKEN, &body).await;
}

/// Guards against reporting a refused outcome query as a refused change.
#[tokio::test]
async fn outcome_query_refused() {
    let (server, errors, mut requests) = serve(8).await;
    let path = format!("GET /v1/outcomes/{WRITE_ID}");
    let answer = async {
        let Some(ControlRequest::QueryOutcome(_, reply)) = requests.recv().await else {
            panic!("no question");
        };
        reply.send(Outcome::Refused(RefusedChange::Busy)).unwrap();
    };
    let ((status, body), ()) = tokio::join!(call(server.addr, &path, TOKEN, ""), answer);
    assert_eq!(status, 503);
    assert!(body.contains(r#""code":"busy""#), "{body}");
    assert_eq!(errors.load(Ordering::Relaxed), 1);
}

/// Guards against a report with made-up numbers from a node without counts.
#[tokio::test]
async fn report_answered_or_refused() {
    let (server, _, requests) = serve(8).await;
    tokio::spawn(FakeControl::default().run(requests));
    let report = |team: &str| format!("GET /v1/report?team={team}&since=unix:1ms");
    let (status, body) = call(server.addr, &report("depots"), TOKEN, "").await;
    assert_eq!(status, 200);
    assert!(body.starts_with(r#"{"team":"depots","from_unix_ms":0,"to_unix_ms":60000,"#), "{body}");
    let (status, body) = call(server.addr, &report("bo"), TOKEN, "").await;
    assert_eq!(status, 503);
    assert!(body.contains(r#""code":"no_report""#), "{body}");
}

/// Guards against giving an operator of one team the report of another team.
#[tokio::test]
async fn report_own_team_only() {
    let (server, _, requests) = serve(8).await;
    tokio::spawn(FakeControl::default().run(requests));
    let report = |team: &str| format!("GET /v1/report?team={team}&since=unix:1ms");
    let (status, body) = call(server.addr, &report("depots"), "token-of-bo", "").await;
    assert_eq!((status, body.contains(r#""code":"other_team""#)), (403, true), "{body}");
    let (_, body) = call(server.addr, &report("wellboats"), "token-of-bo", "").await;
    assert!(body.contains(r#""code":"no_report""#), "{body}");
}
