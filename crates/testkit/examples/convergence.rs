//! Measures the time until a change is applied on every node, and the cost of the
//! control messages, for each number of nodes given on the command line.
//!
//! A change counts as accepted when the store has answered the write. The change is
//! written as by another node, so the time includes the watch of a reader.
//!
//! The second table separates ordinary nodes from readers of the store. The medians
//! are written to the file named by `ALMONDSAIL_SLOPES`, if it is set.
//!
//! Usage: `cargo run --release --example convergence -- 8 32 64`, after
//! `cargo build --release --workspace --bins --examples`, which builds the node.

#[path = "../../core/benches/linear_fits/mod.rs"]
mod linear_fits;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use almondsail_core::ids::NodeId;
use almondsail_core::peers::rank;
use almondsail_core::store::READERS_PER_DATA_CENTRE;
use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::HttpClient;
use almondsail_testkit::mesh::{Mesh, Metrics, ProcessUsage, changes};
use eyre::{Result, WrapErr, ensure, eyre};
use hdrhistogram::Histogram;
use linear_fits::LinearFit;
use tokio::task::JoinSet;

/// Duration of the measurement without changes: as long as a watch on the store
/// waits, so that each reader starts one.
const IDLE_PERIOD: Duration = Duration::from_secs(30);
/// Number of changes measured without faults, and again with faults.
const CHANGES: usize = 8;
/// How long nodes stay suspended after the changes: longer than the 5 s after
/// which the other nodes declare them dead.
const SUSPENSION: Duration = Duration::from_secs(7);
/// Delay between two reads of a node's metrics.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The longest time to wait until a change is applied.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// The name of the counter of bytes in control messages.
const BYTES: &str = "almondsail_control_bytes_total";
/// Number of data centres of the mesh.
const DATA_CENTRES: usize = 4;
/// The key by which nodes rank the nodes of a data centre to choose the store's readers.
const READER_KEY: &str = "reader";

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
    println!("{}", RoleCost::HEADING);
    for row in &rows {
        row.roles.iter().for_each(|(role, cost)| cost.print(row.nodes, *role));
    }
    linear_fits::write("almondsail-testkit convergence", &process_fits(&rows));
    Ok(())
}

/// Returns the medians over all nodes, by the number of nodes.
fn process_fits(rows: &[Row]) -> Vec<LinearFit> {
    let fit = |name, unit, value: fn(&Row) -> f64| LinearFit {
        points: rows.iter().map(|row| (row.nodes as f64, value(row))).collect(),
        ..LinearFit::new(name, unit, "nodes")
    };
    vec![
        fit("process.control_bytes", "B/s", |row| median_of(&row.bytes_per_second)),
        fit("process.cpu", "us/s", |row| median_of(&row.cpu_micros_per_second)),
        fit("process.memory", "KiB", |row| median_of(&row.memory_kb)),
        fit("process.convergence", "ms", |row| row.fault_free.max() as f64),
    ]
}

/// Whether a node reads the configuration from the store for its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Ordinary,
    StoreReader,
}

/// Resource usage of the nodes of one role while no changes are made.
struct RoleCost {
    bytes_per_second: Histogram<u64>,
    cpu_micros_per_second: Histogram<u64>,
    memory_kb: Histogram<u64>,
}

impl RoleCost {
    const HEADING: &str = "\
nodes | role         | number | control B/s  | CPU us/s      | memory KiB
      |              |        | median, max  | median, max   | median, max";

    fn new() -> Result<Self> {
        Ok(Self {
            bytes_per_second: histogram()?,
            cpu_micros_per_second: histogram()?,
            memory_kb: histogram()?,
        })
    }

    fn print(&self, nodes: usize, role: Role) {
        println!(
            "{nodes:5} | {:12} | {:6} | {} | {} | {}",
            format!("{role:?}"),
            self.memory_kb.len(),
            median_and_max(&self.bytes_per_second),
            median_and_max(&self.cpu_micros_per_second),
            median_and_max(&self.memory_kb),
        );
    }
}

/// Returns the role of each node, computed by the ranking that the nodes use.
fn roles(mesh: &Mesh) -> Result<Vec<Role>> {
    let ids: Vec<NodeId> =
        mesh.nodes().iter().map(|node| node.name.parse()).collect::<Result<_, _>>()?;
    let mut readers = BTreeSet::new();
    for data_centre in 0..DATA_CENTRES {
        let members = ids.iter().skip(data_centre).step_by(DATA_CENTRES);
        readers.extend(rank(READER_KEY, members, READERS_PER_DATA_CENTRE));
    }
    let role = |id| if readers.contains(id) { Role::StoreReader } else { Role::Ordinary };
    Ok(ids.iter().map(role).collect())
}

fn median_of(values: &Histogram<u64>) -> f64 {
    values.value_at_quantile(0.5) as f64
}

fn median_and_max(values: &Histogram<u64>) -> String {
    format!("{:5} {:6}", values.value_at_quantile(0.5), values.max())
}

/// The measurements for one number of nodes.
struct Row {
    nodes: usize,
    fault_free: Histogram<u64>,
    with_faults: Histogram<u64>,
    /// Time from the end of the suspension until the last suspended node applies the
    /// newest version.
    catch_up: Duration,
    bytes_per_second: Histogram<u64>,
    cpu_per_mille: Histogram<u64>,
    cpu_micros_per_second: Histogram<u64>,
    memory_kb: Histogram<u64>,
    store_calls_per_second: f64,
    roles: BTreeMap<Role, RoleCost>,
}

impl Row {
    const HEADING: &str = "\
nodes | accepted to in force on the last node, ms | after a   | control B/s  | CPU per mille | memory KiB   | store
      | quiet: median, max  | a tenth lost: same  | freeze ms | median, max  | median, max   | median, max  | calls/s";

    fn print(&self) {
        let pair = median_and_max;
        println!(
            "{:5} | {:>19} | {:>19} | {:9} | {} | {:>13} | {} | {:7.2}",
            self.nodes,
            pair(&self.fault_free),
            pair(&self.with_faults),
            self.catch_up.as_millis(),
            pair(&self.bytes_per_second),
            pair(&self.cpu_per_mille),
            pair(&self.memory_kb),
            self.store_calls_per_second,
        );
    }
}

async fn measure(nodes: usize) -> Result<Row> {
    let mut mesh =
        Mesh::builder().nodes(nodes).backends(0).data_centres(DATA_CENTRES).start().await?;
    let all: Vec<usize> = (0..nodes).collect();
    let newest = mesh.change_in_store(&changes::service("bays", Mesh::BACKEND_VERSION)?).await?;
    wait_until("every node", || async {
        for &index in &all {
            ensure!(mesh.config_version(index).await? >= newest, "node {index} is behind");
        }
        Ok(())
    })
    .await?;
    let mut row = measure_idle(&mesh, nodes).await?;
    row.fault_free = measure_changes(&mesh, &all, "quiet").await?;
    let (killed, suspended) = inject_faults(&mut mesh, nodes)?;
    let is_healthy = |index: &usize| !killed.contains(index) && !suspended.contains(index);
    let healthy: Vec<usize> = all.into_iter().filter(is_healthy).collect();
    row.with_faults = measure_changes(&mesh, &healthy, "disturbed").await?;
    tokio::time::sleep(SUSPENSION).await;
    row.catch_up = measure_catch_up(&mut mesh, healthy[0], &suspended).await?;
    Ok(row)
}

/// Measures the resource usage of the nodes while no changes are made.
async fn measure_idle(mesh: &Mesh, nodes: usize) -> Result<Row> {
    let mut row = Row {
        nodes,
        fault_free: histogram()?,
        with_faults: histogram()?,
        catch_up: Duration::ZERO,
        bytes_per_second: histogram()?,
        cpu_per_mille: histogram()?,
        cpu_micros_per_second: histogram()?,
        memory_kb: histogram()?,
        store_calls_per_second: 0.0,
        roles: BTreeMap::from([
            (Role::Ordinary, RoleCost::new()?),
            (Role::StoreReader, RoleCost::new()?),
        ]),
    };
    let roles = roles(mesh)?;
    let before = sample(mesh, nodes).await?;
    let calls_before = mesh.store_counts().await?.total();
    let started = Instant::now();
    tokio::time::sleep(IDLE_PERIOD).await;
    let seconds = started.elapsed().as_secs_f64();
    let calls = mesh.store_counts().await?.total() - calls_before;
    row.store_calls_per_second = calls as f64 / seconds;
    let samples = before.iter().zip(sample(mesh, nodes).await?);
    for (role, ((bytes, usage), (later_bytes, later))) in roles.into_iter().zip(samples) {
        let bytes = ((later_bytes - bytes) / seconds) as u64;
        let cpu = (later.cpu - usage.cpu).as_secs_f64() / seconds;
        let memory = later.memory.get() / 1_024;
        row.bytes_per_second.record(bytes)?;
        row.cpu_per_mille.record((cpu * 1e3) as u64)?;
        row.cpu_micros_per_second.record((cpu * 1e6) as u64)?;
        row.memory_kb.record(memory)?;
        if let Some(cost) = row.roles.get_mut(&role) {
            cost.bytes_per_second.record(bytes)?;
            cost.cpu_micros_per_second.record((cpu * 1e6) as u64)?;
            cost.memory_kb.record(memory)?;
        }
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

/// Kills a twentieth of the nodes and suspends as many, at least one each, and
/// returns the indexes of the killed and of the suspended nodes.
fn inject_faults(mesh: &mut Mesh, nodes: usize) -> Result<(Vec<usize>, Vec<usize>)> {
    let number = (nodes / 20).max(1);
    let killed: Vec<usize> = (1..=number).collect();
    let suspended: Vec<usize> = (nodes - number..nodes).collect();
    for &index in &killed {
        mesh.kill_node(index)?;
    }
    for &index in &suspended {
        let process = mesh.nodes()[index].node;
        mesh.harness().suspend(process)?;
    }
    Ok((killed, suspended))
}

/// Resumes the suspended nodes and returns the time until each applies the version
/// of the node `other`.
async fn measure_catch_up(mesh: &mut Mesh, other: usize, suspended: &[usize]) -> Result<Duration> {
    let version = mesh.config_version(other).await?;
    for &index in suspended {
        let process = mesh.nodes()[index].node;
        mesh.harness().resume(process)?;
    }
    wait_for_version(mesh, suspended, version, Instant::now()).await
}

/// Measures the milliseconds from the acceptance of each change until it is applied
/// on all of `nodes`.
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

/// Returns the time from `since` until the last of `nodes` applies `version`.
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
            while since.elapsed() < CONVERGENCE_TIMEOUT {
                if read_version(&node).await? >= version {
                    return Ok(since.elapsed());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Err(eyre!("node {index} is not at {version} after {CONVERGENCE_TIMEOUT:?}"))
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
    Ok(Metrics::parse(&String::from_utf8_lossy(&reply.body))?.sum(Mesh::CONFIG_VERSION_GAUGE)
        as u64)
}

fn histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new(3)?)
}
