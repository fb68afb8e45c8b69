//! Tests of the `almondsail` binary against a node's operator port with a fake control thread.

#[path = "../../node/tests/operators_support/mod.rs"]
mod operators_support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, LazyLock, Mutex};

use almondsail_core::ids::ConfigVersion;
use almondsail_node::control::control_request::ControlRequest;
use operators_support::{FakeControl, OperatorServer, TOKEN, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::process::Command;

/// Exit code, standard output and standard error of a run of the tool.
type ToolOutput = (i32, String, String);

/// File with the operator's token. It is written only once, because tests run in parallel.
static TOKEN_FILE: LazyLock<PathBuf> = LazyLock::new(|| {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("ana.token");
    std::fs::write(&path, format!("{TOKEN}\n")).unwrap();
    path
});

async fn run_tool(nodes: &[SocketAddr], args: &[&str], stdin: &str) -> ToolOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_almondsail"));
    for node in nodes {
        command.args(["--node", &node.to_string()]);
    }
    command.arg("--token-file").arg(&*TOKEN_FILE).args(["--timeout", "2s"]).args(args);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(stdin.as_bytes()).await.unwrap();
    let output = child.wait_with_output().await.unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

async fn start_node() -> OperatorServer {
    let (server, requests) = serve(8, Box::new(|_| ())).await;
    tokio::spawn(FakeControl::default().run(requests));
    server
}

/// Binds a socket that doesn't listen, so that connections to its address are refused and no
/// other socket gets its port while it is open.
fn refusing_socket() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}

/// Starts a node that reads one request and closes the connection without a response.
async fn unresponsive_node() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
    });
    addr
}

/// Guards against statements from the standard input that don't run in order, or whose results are
/// not printed as tables.
#[tokio::test]
async fn run_lines_in_turn() {
    let server = start_node().await;
    let script = "# A service with a route.\n\
        create service bays team depots\n\
        create version bays/v1\n\n\
        create route moves service bays prefix /moves non-idempotent priority interactive deadline 800ms\n\
        show config\n\
        show nodes\n";
    let (code, out, err) = run_tool(&[server.addr], &["run", "-"], script).await;
    assert_eq!((code, err.as_str()), (0, ""));
    assert!(
        out.starts_with("accepted at version 1\naccepted at version 2\naccepted at version 3\n")
    );
    let lines = [
        "ROUTE  SERVICE  PREFIX  IDEMPOTENT  PRIORITY     DEADLINE\n\
         moves  bays     /moves  no          interactive  800ms\n",
        "NODE  DATA CENTRE  HOST  STATUS  CONFIG  BEHIND  BACKEND  STATE  SLOTS\n\
         n1    dc-a         h1    alive   3       0       -        -      -\n",
        "configuration version 3 on node n1\n",
    ];
    for line in lines {
        assert!(out.contains(line), "missing {line:?} in {out}");
    }
}

/// Guards against an exit code that tells a script a wrong result.
#[tokio::test]
async fn exit_codes() {
    let server = start_node().await;
    let create = ["run", "create service bays team depots"];
    assert_eq!(run_tool(&[server.addr], &create, "").await.0, 0);
    let (code, out, _) = run_tool(&[server.addr], &create, "").await;
    assert_eq!((code, out.as_str()), (1, "refused because service bays exists already\n"));
    let (code, _, err) = run_tool(&[server.addr], &["run", "hold Bays"], "").await;
    assert_eq!(code, 2);
    assert_eq!(err, "hold Bays\n     ^\nexpected a service name; found \"Bays\"\n");
    assert_eq!(run_tool(&[server.addr], &["run"], "").await.0, 2);
    assert_eq!(
        run_tool(&[server.addr], &["report", "--team", "depots", "--since", "now"], "").await.0,
        2
    );
    assert_eq!(run_tool(&[], &create, "").await.0, 2);
    let (_refusing, refused_addr) = refusing_socket();
    let (code, _, err) = run_tool(&[refused_addr], &create, "").await;
    assert_eq!(code, 4, "{err}");
    let (code, out, _) = run_tool(&[unresponsive_node().await], &create, "").await;
    assert_eq!(code, 3);
    assert!(out.contains("find out with: almondsail outcome "), "{out}");
    let (code, out, _) = run_tool(&[server.addr], &["outcome", &"0".repeat(32)], "").await;
    assert_eq!(code, 3);
    assert!(out.starts_with("not accepted so far: the history of version 1"), "{out}");
}

/// Guards against giving up when the first node is unreachable but another accepts the command.
#[tokio::test]
async fn command_next_node() {
    let server = start_node().await;
    let (_refusing, refused_addr) = refusing_socket();
    let nodes = [refused_addr, server.addr];
    let (code, out, err) = run_tool(&nodes, &["run", "create service bays team depots"], "").await;
    assert_eq!((code, out.as_str(), err.as_str()), (0, "accepted at version 1\n", ""));
}

/// Guards against a change that is made twice: the answer of the first node is lost, and the repeat
/// must carry the same write id.
#[tokio::test]
async fn command_repeated_with_same_write_id() {
    let server = start_node().await;
    // Forwards the command to the node, and drops the connection when the node answers.
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nodes = [relay.local_addr().unwrap(), server.addr];
    let addr = server.addr;
    tokio::spawn(async move {
        let (mut from, _) = relay.accept().await.unwrap();
        let mut to = tokio::net::TcpStream::connect(addr).await.unwrap();
        let mut buf = vec![0; 8_192];
        loop {
            tokio::select! {
                n = from.read(&mut buf) => to.write_all(&buf[..n.unwrap()]).await.unwrap(),
                _ = to.readable() => return,
            }
        }
    });
    let (code, out, err) = run_tool(&nodes, &["run", "create service bays team depots"], "").await;
    assert_eq!((code, out.as_str(), err.as_str()), (0, "accepted at version 1\n", ""));
    let (_, out, _) = run_tool(&[server.addr], &["run", "show history"], "").await;
    assert_eq!(out.matches("create service bays").count(), 1, "{out}");
}

/// Guards against a refusal by another node that is reported as the outcome of a command whose
/// answer was lost.
#[tokio::test]
async fn command_in_doubt_stays_unknown() {
    let server = start_node().await;
    let create = ["run", "create service bays team depots"];
    assert_eq!(run_tool(&[server.addr], &create, "").await.0, 0);
    let (code, out, err) = run_tool(&[unresponsive_node().await, server.addr], &create, "").await;
    assert_eq!(code, 3, "{out}{err}");
    assert!(err.contains("service bays exists already"), "{err}");
}

/// Guards against a command without a base version, which could overwrite changes that the operator
/// has not seen, and against a rollback with one, which would be refused once a rollout step changed
/// the version.
#[tokio::test]
async fn run_lines_base_versions() {
    let (server, mut requests) = serve(8, Box::new(|_| ())).await;
    let bases = Arc::new(Mutex::new(Vec::new()));
    let submitted_bases = bases.clone();
    tokio::spawn(async move {
        let mut control = FakeControl::default();
        while let Some(request) = requests.recv().await {
            if let ControlRequest::Submit(submission, _) = &request {
                submitted_bases
                    .lock()
                    .unwrap()
                    .push(submission.base_version.map(ConfigVersion::get));
            }
            control.answer(request);
        }
    });
    let script = "create service bays team depots\nshow services\ncreate version bays/v1\n\
        create version bays/v2\ncreate version bays/v3 at version 1\nrollback bays\n";
    let (code, out, _) = run_tool(&[server.addr], &["run", "-"], script).await;
    assert_eq!(code, 1, "{out}");
    assert_eq!(*bases.lock().unwrap(), [None, Some(1), Some(2), Some(1), None]);
}

/// Guards against JSON output that is not one object on each line.
#[tokio::test]
async fn json_lines() {
    let server = start_node().await;
    let script = "create service bays team depots\nshow services\nhold bays\n";
    let (code, out, _) = run_tool(&[server.addr], &["--output", "json", "run", "-"], script).await;
    assert_eq!(code, 1);
    let lines: Vec<serde_json::Value> =
        out.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 3);
    assert_eq!(lines[0]["outcome"]["accepted"], 1);
    assert_eq!(lines[1]["body"]["services"]["services"][0]["name"], "bays");
    assert_eq!(lines[2]["outcome"]["refused"]["code"], "invalid");
}

/// Guards against a report that does not say which records and minutes it lacks.
#[tokio::test]
async fn report_table() {
    let server = start_node().await;
    let args = ["report", "--team", "depots", "--since", "2026-12-04T11:00:00Z"];
    let (code, out, err) = run_tool(&[server.addr], &args, "").await;
    assert_eq!((code, err.as_str()), (0, ""));
    let lines = [
        "team depots from 2026-12-04T11:00:00.000Z to 2026-12-04T11:01:00.000Z",
        "1 of 1 records of the nodes are missing or of a part of a minute; what they lack is in no \
         figure.",
        "The store has all 1 minutes of the data centres.",
        "records missing                1/1",
        "minutes missing                0/1",
    ];
    for line in lines {
        assert!(out.lines().any(|l| l == line), "missing {line:?} in {out}");
    }
}

/// Guards against an option or argument that `--help` lists without a description.
#[test]
fn help_describes_every_option() {
    let command = almondsail_cli::cli::command();
    for sub in std::iter::once(&command).chain(command.get_subcommands()) {
        for arg in
            sub.get_arguments().filter(|arg| !["help", "version"].contains(&arg.get_id().as_str()))
        {
            assert!(arg.get_help().is_some(), "{} {}", sub.get_name(), arg.get_id());
        }
    }
}
