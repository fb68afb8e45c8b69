//! Tests of requests that are in progress during planned work other than a stop.

use std::net::SocketAddr;
use std::time::Duration;

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::platform::Fleet;
use eyre::{Result, ensure};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const SERVICES: [&str; 2] = ["bays", "traslados"];
const RUN_TIME: Duration = Duration::from_secs(2);

/// Starts a fleet of one data centre whose workers take `RUN_TIME` for a request, and sends one to
/// each service on a connection to node 0. Returns when both are running.
async fn start_requests() -> Result<(Fleet, Vec<TcpStream>)> {
    let fleet = Fleet::start(&["dc-a"], &SERVICES).await?;
    fleet.configure(1, &SERVICES);
    fleet.wait_until_ready(0).await?;
    for service in SERVICES {
        fleet.wait_until_served(0, service).await?;
    }
    fleet.nodes.iter().for_each(|node| node.worker.set_run_time(RUN_TIME));
    let address: SocketAddr = fleet.address(0, "callers")?;
    let mut streams = Vec::new();
    for service in SERVICES {
        let mut stream = TcpStream::connect(address).await?;
        let request = format!(
            "POST /unsafe/ HTTP/1.1\r\nhost: {service}.example\r\nalmondsail-attempt-id: {service}\
             \r\nalmondsail-deadline-ms: 15000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        streams.push(stream);
    }
    wait_until("the requests at the servers", || async {
        let running = fleet.nodes.iter().filter(|node| node.worker.running_requests() == 1);
        ensure!(running.count() == SERVICES.len());
        Ok(())
    })
    .await?;
    Ok((fleet, streams))
}

/// Checks that each of `streams` receives the answer of its server.
async fn check_answers(streams: Vec<TcpStream>) -> Result<()> {
    for (mut stream, service) in streams.into_iter().zip(SERVICES) {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        assert!(answer.contains(&format!("signed-{service}")), "{service}: {answer:?}");
    }
    Ok(())
}

// Guards against requests in progress that are cut by a change of the settings file.
#[tokio::test]
async fn reload_keeps_requests() -> Result<()> {
    let (fleet, streams) = start_requests().await?;
    fleet.request_reload(0)?;
    fleet.request_reload(1)?;
    check_answers(streams).await
}

// Guards against requests in progress that are cut by a configuration without their routes.
#[tokio::test]
async fn removed_routes_keep_requests() -> Result<()> {
    let (fleet, streams) = start_requests().await?;
    fleet.configure(2, &[]);
    let caller = fleet.caller(0)?;
    wait_until("the next configuration", || async {
        let headers = [("host", "bays.example")];
        let reply = caller.send(http::Method::GET, "/safe/", Default::default(), &headers).await?;
        ensure!(reply.status == 404, "{}", reply.status);
        Ok(())
    })
    .await?;
    check_answers(streams).await
}
