//! Tests the harness that runs child processes.

use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use almondsail_testkit::harness::{Binary, Harness, Launch, ProcessId};
use almondsail_testkit::http::HttpClient;
use eyre::{Result, ensure};

async fn start() -> Result<(Harness, ProcessId)> {
    let mut harness = Harness::new()?;
    let launch = Launch::new(Binary::Store, "store");
    let launch = launch.with_option("listen", harness.any_port().to_string());
    let id = harness.start(launch).await?;
    Ok((harness, id))
}

// Guards against child processes that survive a test that panics.
#[tokio::test]
async fn drop_after_panic() -> Result<()> {
    let test = tokio::spawn(async {
        let (harness, id) = start().await?;
        let pid = harness.pid(id)?;
        harness.suspend(id)?;
        assert!(pid == 0, "{pid}");
        Ok::<(), eyre::Report>(())
    });
    let panic = test.await.expect_err("the task panics").into_panic();
    let pid = panic.downcast_ref::<String>().expect("a panic with a text");
    let process = PathBuf::from(format!("/proc/{}", pid.trim()));
    assert!(!process.exists(), "{}", process.display());
    Ok(())
}

// Guards against a suspended process that keeps running, or doesn't resume.
#[tokio::test]
async fn suspend_and_resume() -> Result<()> {
    let (harness, id) = start().await?;
    let store = HttpClient::new(harness.address(id, "address")?);
    harness.suspend(id)?;
    let client = store.clone().with_timeout(Duration::from_millis(200));
    assert!(client.get("/v1/kv/k").await.is_err());
    harness.resume(id)?;
    assert_eq!(store.get("/v1/kv/k").await?.status, 404);
    Ok(())
}

// Guards against a restarted process that listens on another address.
#[tokio::test]
async fn restart_same_address() -> Result<()> {
    let (mut harness, id) = start().await?;
    let (address, pid) = (harness.address(id, "address")?, harness.pid(id)?);
    harness.kill(id)?;
    assert!(harness.address(id, "address").is_err());
    let launch = harness.launch(id)?.clone().with_option("listen", address.to_string());
    harness.restart(id, Some(launch)).await?;
    assert_eq!(harness.address(id, "address")?, address);
    assert_ne!(harness.pid(id)?, pid);
    harness.check_running()
}

// Guards against a failed start whose error omits the stderr of the process.
#[tokio::test]
async fn start_bad_option() -> Result<()> {
    let mut harness = Harness::new()?;
    let launch = Launch::new(Binary::Store, "store").with_option("reads", "many");
    let error = harness.start(launch).await.expect_err("the option is refused");
    assert!(format!("{error:#}").contains("a rate such as"), "{error:#}");
    Ok(())
}

// Guards against a reserved port that accepts connections or can't be bound while another
// thread starts a child process, which briefly holds a copy of every open socket.
#[test]
fn reserve_port_during_starts() -> Result<()> {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let starts = || -> Result<()> {
            while !is_over.load(Ordering::Relaxed) {
                Command::new("true").status()?;
            }
            Ok(())
        };
        let starters: Vec<_> = (0..3).map(|_| scope.spawn(starts)).collect();
        let result = reserve_ports(3_000);
        is_over.store(true, Ordering::Relaxed);
        starters.into_iter().try_for_each(|starter| starter.join().expect("no panic"))?;
        result
    })
}

/// Reserves `count` ports, connects to each and listens on it.
fn reserve_ports(count: usize) -> Result<()> {
    let mut harness = Harness::new()?;
    for n in 0..count {
        let address = harness.reserve_port()?;
        let connected = TcpStream::connect(address);
        let is_refused =
            |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        ensure!(connected.as_ref().is_err_and(is_refused), "port {n}: {connected:?}");
        let listener = TcpListener::bind(address);
        ensure!(listener.is_ok(), "port {n}: {listener:?}");
    }
    Ok(())
}
