//! Measures how soon a change is in force on every node, and what the control
//! messages cost, with as many node processes as the command line asks for.
//!
//! A change counts as accepted when the store has answered the write. It is
//! written as another node would, so the time contains the watch of a reader.
//!
//! The second table shows ordinary nodes and readers of the store apart. The medians
//! go to the file that `ALMONDSAIL_SLOPES` names, if it is set.
//!
//! `cargo run --release --example convergence -- 8 32 64`; the node is built by
//! `cargo build --release --workspace --bins --examples`.

#[path = "../../core/benches/slopes/mod.rs"]
mod slopes;

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
use slopes::Slope;
use tokio::task::JoinSet;

/// How long the mesh is left alone while its cost is measured: as long as a
/// watch on the store waits, so that each reader begins one.
const IDLE_PERIOD: Duration = Duration::from_secs(30);
/// Changes made in each state of the mesh.
const CHANGES: usize = 8;
/// How long nodes stay frozen after the changes: longer than the 5 s after
/// which the others declare them dead.
const SUSPENSION: Duration = Duration::from_secs(7);
/// How long to wait between two questions to a node.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a change may take until the measurement gives up.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// The counter of control bytes.
const BYTES: &str = "almondsail_control_bytes_total";
/// The data centres of the mesh.
const DATA_CENTRES: usize = 4;
/// The text by which the readers of the store rank first among the nodes of a data centre.
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
    slopes::write("almondsail-testkit convergence", &process_slopes(&rows));
    Ok(())
}

/// The medians of all nodes by the number of nodes.
fn process_slopes(rows: &[Row]) -> Vec<Slope> {
    let slope = |name, unit, value: fn(&Row) -> f64| Slope {
        points: rows.iter().map(|row| (row.nodes as f64, value(row))).collect(),
        ..Slope::new(name, unit, "nodes")
    };
    vec![
        slope("process.control_bytes", "B/s", |row| median_of(&row.bytes_per_second)),
        slope("process.cpu", "us/s", |row| median_of(&row.cpu_micros_per_second)),
        slope("process.memory", "KiB", |row| median_of(&row.memory_kb)),
        slope("process.convergence", "ms", |row| row.fault_free.max() as f64),
    ]
}

/// What a node does beside its own traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Role {
    Ordinary,
    StoreReader,
}

/// What the nodes of one role cost while nothing changes.
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

/// The role of each node, by the rule of the nodes themselves.
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

/// What was measured with one number of nodes.
struct Row {
    nodes: usize,
    fault_free: Histogram<u64>,
    with_faults: Histogram<u64>,
    /// From the end of the freeze until the last frozen node had the newest version.
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

/// What the nodes cost while nothing changes.
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

/// Kills one twentieth of the nodes and freezes as many, each at least one, and
/// gives the indexes of the killed and of the frozen ones.
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

/// Lets the frozen nodes go on and waits until each has the version of `other`.
async fn measure_catch_up(mesh: &mut Mesh, other: usize, suspended: &[usize]) -> Result<Duration> {
    let version = mesh.config_version(other).await?;
    for &index in suspended {
        let process = mesh.nodes()[index].node;
        mesh.harness().resume(process)?;
    }
    wait_for_version(mesh, suspended, version, Instant::now()).await
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
