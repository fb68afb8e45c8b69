//! Measures how soon a change is in force on every node, and what the control
//! messages cost, with as many node processes as the command line asks for.
//!
//! A change counts as accepted when the store has answered the write. It is
//! written as another node would, so the time contains the watch of a reader.
//!
//! `cargo run --release --example convergence -- 8 32 64`; the node is built by
//! `cargo build --release --workspace --bins --examples`.

use std::time::{Duration, Instant};

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::mesh::{Mesh, Metrics, ProcessUsage, changes};
use eyre::{Result, WrapErr, ensure, eyre};
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

/// How long the mesh is left alone while its cost is measured: as long as a
/// watch on the store waits, so that each reader begins one.
const IDLE: Duration = Duration::from_secs(30);
/// Changes made in each state of the mesh.
const CHANGES: usize = 8;
/// How long nodes stay frozen after the changes: longer than the 5 s after
/// which the others declare them dead.
const FREEZE: Duration = Duration::from_secs(7);
/// How long to wait between two questions to a node.
const POLL: Duration = Duration::from_millis(5);
/// How long a change may take until the measurement gives up.
const GIVE_UP: Duration = Duration::from_secs(60);
/// The counter of control bytes.
const BYTES: &str = "almondsail_control_bytes_total";

#[tokio::main]
async fn main() -> Result<()> {
    let sizes: Vec<usize> =
        std::env::args().skip(1).map(|arg| arg.parse()).collect::<Result<_, _>>()?;
    let sizes = if sizes.is_empty() { vec![8, 32, 64] } else { sizes };
    let mut rows = Vec::new();
    for nodes in sizes {
        eprintln!("measuring {nodes} nodes");
        rows.push(measure(nodes).await.wrap_err_with(|| format!("{nodes} nodes"))?);
    }
    println!("{}", Row::HEADING);
    rows.iter().for_each(Row::print);
    Ok(())
}

/// What was measured with one number of nodes.
struct Row {
    nodes: usize,
    quiet: Histogram<u64>,
    disturbed: Histogram<u64>,
    /// From the end of the freeze until the last frozen node had the newest version.
    thawed: Duration,
    bytes_per_second: Histogram<u64>,
    cpu_per_mille: Histogram<u64>,
    memory_kb: Histogram<u64>,
    store_calls_per_second: f64,
}

impl Row {
    const HEADING: &str = "\
nodes | accepted to in force on the last node, ms | after a   | control B/s  | CPU per mille | memory KB    | store
      | quiet: median, max  | a tenth lost: same  | freeze ms | median, max  | median, max   | median, max  | calls/s";

    fn print(&self) {
        let pair = |values: &Histogram<u64>| {
            format!("{:5} {:6}", values.value_at_quantile(0.5), values.max())
        };
        println!(
            "{:5} | {:>19} | {:>19} | {:9} | {} | {:>13} | {} | {:7.2}",
            self.nodes,
            pair(&self.quiet),
            pair(&self.disturbed),
            self.thawed.as_millis(),
            pair(&self.bytes_per_second),
            pair(&self.cpu_per_mille),
            pair(&self.memory_kb),
            self.store_calls_per_second,
        );
    }
}

async fn measure(nodes: usize) -> Result<Row> {
    let mut mesh = Mesh::builder().nodes(nodes).backends(0).data_centres(4).start().await?;
    let all: Vec<usize> = (0..nodes).collect();
    let newest = mesh.change_in_store(&changes::service("bays", Mesh::VERSION)?).await?;
    wait_until("every node", || async {
        for &index in &all {
            ensure!(mesh.version(index).await? >= newest, "node {index} is behind");
        }
        Ok(())
    })
    .await?;
    let mut row = measure_idle(&mesh, nodes).await?;
    row.quiet = measure_changes(&mesh, &all, "quiet").await?;
    let (killed, frozen) = disturb(&mut mesh, nodes)?;
    let is_left = |index: &usize| !killed.contains(index) && !frozen.contains(index);
    let left: Vec<usize> = all.into_iter().filter(is_left).collect();
    row.disturbed = measure_changes(&mesh, &left, "disturbed").await?;
    tokio::time::sleep(FREEZE).await;
    row.thawed = measure_thaw(&mut mesh, left[0], &frozen).await?;
    Ok(row)
}

/// What the nodes cost while nothing changes.
async fn measure_idle(mesh: &Mesh, nodes: usize) -> Result<Row> {
    let mut row = Row {
        nodes,
        quiet: histogram()?,
        disturbed: histogram()?,
        thawed: Duration::ZERO,
        bytes_per_second: histogram()?,
        cpu_per_mille: histogram()?,
        memory_kb: histogram()?,
        store_calls_per_second: 0.0,
    };
    let before = sample(mesh, nodes).await?;
    let calls_before = mesh.store_counts().await?.total();
    let begun = Instant::now();
    tokio::time::sleep(IDLE).await;
    let seconds = begun.elapsed().as_secs_f64();
    let calls = mesh.store_counts().await?.total() - calls_before;
    row.store_calls_per_second = calls as f64 / seconds;
    for ((bytes, usage), (later_bytes, later)) in before.iter().zip(sample(mesh, nodes).await?) {
        row.bytes_per_second.record(((later_bytes - bytes) / seconds) as u64)?;
        let cpu = (later.cpu - usage.cpu).as_secs_f64();
        row.cpu_per_mille.record((cpu / seconds * 1_000.0) as u64)?;
        row.memory_kb.record(later.memory.get() / 1_024)?;
    }
    Ok(row)
}

async fn sample(mesh: &Mesh, nodes: usize) -> Result<Vec<(f64, ProcessUsage)>> {
    let mut samples = Vec::new();
    for index in 0..nodes {
        let metrics: Metrics = mesh.metrics(index).await?;
        samples.push((metrics.sum(BYTES), mesh.usage(index)?));
    }
    Ok(samples)
}

/// Kills one twentieth of the nodes and freezes as many, each at least one, and
/// gives the indexes of the killed and of the frozen ones.
fn disturb(mesh: &mut Mesh, nodes: usize) -> Result<(Vec<usize>, Vec<usize>)> {
    let number = (nodes / 20).max(1);
    let killed: Vec<usize> = (1..=number).collect();
    let frozen: Vec<usize> = (nodes - number..nodes).collect();
    for &index in &killed {
        mesh.kill_node(index)?;
    }
    for &index in &frozen {
        let process = mesh.nodes()[index].node;
        mesh.harness().freeze(process)?;
    }
    Ok((killed, frozen))
}

/// Lets the frozen nodes go on and waits until each has the version of `other`.
async fn measure_thaw(mesh: &mut Mesh, other: usize, frozen: &[usize]) -> Result<Duration> {
    let version = mesh.version(other).await?;
    for &index in frozen {
        let process = mesh.nodes()[index].node;
        mesh.harness().thaw(process)?;
    }
    wait_for_version(mesh, frozen, version, Instant::now()).await
}

/// Milliseconds from each change's acceptance until it is in force on `nodes`.
async fn measure_changes(mesh: &Mesh, nodes: &[usize], name: &str) -> Result<Histogram<u64>> {
    let mut times = histogram()?;
    for number in 0..CHANGES {
        let route = format!("{name}-{number}");
        let change = changes::route(&route, "bays", &format!("/{route}"), true)?;
        let version = mesh.change_in_store(&[change]).await?;
        let last = wait_for_version(mesh, nodes, version, Instant::now()).await?;
        times.record(last.as_millis() as u64)?;
    }
    Ok(times)
}

/// The time from `since` until `version` is in force on the last of `nodes`.
async fn wait_for_version(
    mesh: &Mesh,
    nodes: &[usize],
    version: u64,
    since: Instant,
) -> Result<Duration> {
    let mut waits = JoinSet::new();
    for &index in nodes {
        let node = HttpClient::new(mesh.address(index, "local")?);
        waits.spawn(async move {
            while since.elapsed() < GIVE_UP {
                if read_version(&node).await? >= version {
                    return Ok(since.elapsed());
                }
                tokio::time::sleep(POLL).await;
            }
            Err(eyre!("node {index} is not at {version} after {GIVE_UP:?}"))
        });
    }
    let mut last = Duration::ZERO;
    while let Some(time) = waits.join_next().await {
        last = last.max(time??);
    }
    Ok(last)
}

async fn read_version(node: &HttpClient) -> Result<u64> {
    let reply = node.get("/metrics").await?;
    Ok(Metrics::parse(&String::from_utf8_lossy(&reply.body))?.sum(Mesh::VERSION_GAUGE) as u64)
}

fn histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new(3)?)
}
