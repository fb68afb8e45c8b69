//! Tests a mesh of processes with injected faults.

use almondsail_core::config::Change;
use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::mesh::{Mesh, changes};
use almondsail_testkit::store::StoreMode;
use almondsail_testkit::traffic::{Audit, CallOutcome, CallRequest, Caller, Load, LoadOptions};
use eyre::{Result, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SERVICES: [&str; 2] = ["bays", "traslados"];
const CONFIG_KEY: &str = "almondsail/config";

/// Starts four nodes in two data centres, with two backend servers for each service.
async fn start() -> Result<Mesh> {
    let mesh = Mesh::builder().services(&SERVICES).start().await?;
    mesh.configure_in_store(&SERVICES).await?;
    for service in SERVICES {
        mesh.wait_until_served(&format!("/{service}/item")).await?;
    }
    Ok(mesh)
}

fn route_command(name: &str) -> String {
    format!(
        "create route {name} service bays prefix /{name} idempotent \
         priority interactive deadline 5000ms"
    )
}

/// Returns the change that creates an idempotent route for `/extra`.
fn extra_route() -> Result<Change> {
    changes::route("extra", "bays", "/extra", true)
}

fn check_answered(outcome: CallOutcome) -> Result<()> {
    ensure!(matches!(outcome, CallOutcome::Answered(_)), "{outcome:?}");
    Ok(())
}

// Guards against calls that run twice or get a wrong answer when a node dies, and
// against nodes that keep sending calls to the dead node.
#[tokio::test]
async fn kill_node_under_load() -> Result<()> {
    let mut mesh = start().await?;
    let survivors: Vec<_> = mesh.caller_addresses().into_iter().skip(1).collect();
    let caller = Caller::new(survivors);
    let load = Load::start(&caller, &LoadOptions::for_services(&SERVICES));
    mesh.kill_node(0)?;
    // Sends at least 20 rounds of calls, each to the next node; the last must be answered.
    let answered = std::cell::Cell::new(0_u64);
    wait_until("calls after the loss", || async {
        answered.set(answered.get() + 1);
        let n = answered.get();
        for service in SERVICES {
            let request = CallRequest::booking(service, "after", n);
            check_answered(caller.call(n as usize, &request).await.0)?;
        }
        ensure!(n >= 20, "only {n} rounds");
        Ok(())
    })
    .await?;
    let results = load.stop().await?;
    let audit = Audit::of(&results, &mesh.executions()?);
    assert!(audit.is_clean(), "{audit:?}");
    assert_eq!(results.wrong_answers, 0, "{results}");
    for kind in results.unanswered.keys() {
        assert!(kind.starts_with("may-have-run"), "{results}");
    }
    Ok(())
}

// Guards against a suspended node that delays changes on the others, or that never
// catches up after it is resumed.
#[tokio::test]
async fn change_node_suspended() -> Result<()> {
    let mut mesh = start().await?;
    let suspended = mesh.nodes()[1].node;
    mesh.harness().suspend(suspended)?;
    mesh.change_in_store(&[extra_route()?]).await?;
    let others: Vec<_> =
        mesh.caller_addresses().into_iter().enumerate().filter(|(n, _)| *n != 1).collect();
    for (_, entry) in others {
        wait_until("the change", || async {
            HttpClient::new(entry).get("/extra/item").await?.success()
        })
        .await?;
    }
    mesh.harness().resume(suspended)?;
    mesh.wait_until_served("/extra/item").await
}

// Guards against calls that fail during an outage of the store, commands that are
// reported as accepted during it, and a node that can't start from its peers' state.
#[tokio::test]
async fn store_outage() -> Result<()> {
    let mut mesh = start().await?;
    mesh.set_store_mode(StoreMode { down: true, ..StoreMode::default() }).await?;
    assert!(!mesh.operator(0)?.output(&route_command("extra")).await?.status.success());
    mesh.kill_node(2)?;
    mesh.start_node(2).await?;
    for service in SERVICES {
        mesh.wait_until_served(&format!("/{service}/item")).await?;
    }
    mesh.set_store_mode(StoreMode::default()).await?;
    mesh.operator(0)?.run(&route_command("extra")).await?;
    mesh.wait_until_served("/extra/item").await
}

// Guards against a write that took effect but is reported as refused or is repeated,
// when the store's answer is lost.
#[tokio::test]
async fn store_answer_lost() -> Result<()> {
    let mesh = start().await?;
    let revision = || async {
        let reply = mesh.store()?.get(&format!("/v1/kv/{CONFIG_KEY}")).await?;
        Ok::<u64, eyre::Report>(reply.header("x-revision").unwrap_or("").parse()?)
    };
    let before = revision().await?;
    mesh.set_store_mode(StoreMode { lose_answers: 1, ..StoreMode::default() }).await?;
    mesh.operator(1)?.run(&route_command("extra")).await?;
    assert_eq!(revision().await?, before + 1);
    mesh.wait_until_served("/extra/item").await
}

// Guards against a corrupt value in the store that replaces the applied configuration
// or crashes a node.
#[tokio::test]
async fn store_corrupt_value() -> Result<()> {
    let mut mesh = start().await?;
    let store = mesh.store()?;
    let valid_value = store.get(&format!("/v1/kv/{CONFIG_KEY}")).await?.body;
    store.put(&format!("/control/value/{CONFIG_KEY}"), vec![0xff; 512]).await?.success()?;
    assert!(!mesh.operator(0)?.output(&route_command("extra")).await?.status.success());
    mesh.harness().check_running()?;
    for service in SERVICES {
        mesh.wait_until_served(&format!("/{service}/item")).await?;
    }
    store.put(&format!("/control/value/{CONFIG_KEY}"), valid_value).await?.success()?;
    mesh.operator(0)?.run(&route_command("extra")).await?;
    mesh.wait_until_served("/extra/item").await
}

// Guards against invalid bytes on the peer port that crash or block a node.
#[tokio::test]
async fn peer_port_garbage() -> Result<()> {
    let mut mesh = start().await?;
    let peers = mesh.address(0, "peers")?;
    let length_of_4_gb = [0xff, 0xff, 0xff, 0xff, 0, 1, 2, 3];
    let samples: [&[u8]; 4] = [b"GET / HTTP/1.1\r\n\r\n", &length_of_4_gb, &[0; 4_096], b"\n"];
    for sample in samples {
        let mut stream = TcpStream::connect(peers).await?;
        stream.write_all(sample).await?;
        stream.shutdown().await?;
        // The node may close the connection with a reset.
        let _closed = stream.read_to_end(&mut Vec::new()).await;
    }
    mesh.harness().check_running()?;
    mesh.change_in_store(&[extra_route()?]).await?;
    mesh.wait_until_served("/extra/item").await
}

// Guards against a planned stop that loses or duplicates calls: every node and every
// backend server is restarted under load.
#[tokio::test]
async fn rolling_restart_under_load() -> Result<()> {
    let mut mesh = start().await?;
    let caller = Caller::new(mesh.caller_addresses());
    let load = Load::start(&caller, &LoadOptions::for_services(&SERVICES));
    for index in 0..mesh.nodes().len() {
        mesh.stop_node(index).await?;
        mesh.start_node(index).await?;
        mesh.wait_until_served("/bays/item").await?;
        mesh.wait_until_served("/traslados/item").await?;
        mesh.restart_backend(index).await?;
        mesh.wait_until_own_backend(index).await?;
    }
    let results = load.stop().await?;
    assert_eq!(results.lost(), 0, "{results}");
    let audit = Audit::of(&results, &mesh.executions()?);
    assert!(audit.is_clean(), "{audit:?}");
    Ok(())
}
