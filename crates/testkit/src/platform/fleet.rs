//! Runs a fleet of nodes on test doubles of the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, ensure};
use serde_json::json;

use super::raw_node::RawNode;
use super::{ConfigDocument, KvServer, RawWorker, Worker, WorkerOptions};
use crate::harness::{Binary, Harness, Launch, ProcessId, wait_until};
use crate::http::HttpClient;
use crate::mesh::{Metrics, ProcessUsage};

/// Slots of a [`RawWorker`], as many as a worker of the platform has.
const RAW_SLOTS: u32 = 12;
/// Grace period of a node, unless a test sets another one.
const GRACE: Duration = Duration::from_secs(6);

/// A fleet of node processes, each with a worker, and a metadata store; the workers and
/// the store run in this process.
#[derive(Debug)]
pub struct Fleet {
    /// The metadata store from which the nodes read their configuration.
    pub store: KvServer,
    /// The nodes in the order in which they were started, including stopped ones.
    pub nodes: Vec<FleetNode>,
    harness: Harness,
    raw_nodes: Vec<RawNode>,
}

/// A node of a fleet with its worker.
#[derive(Debug)]
pub struct FleetNode {
    /// The id of the node, `DATA_CENTRE-SERVICE`.
    pub name: String,
    /// The node's worker, which runs in this process.
    pub worker: Worker,
    process: ProcessId,
    /// The node's address for announcements; unchanged by a restart.
    announcements: SocketAddr,
    announcer: Option<tokio::task::JoinHandle<()>>,
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        self.stop_announcing();
    }
}

impl FleetNode {
    /// Stops the periodic announcements of the worker.
    pub fn stop_announcing(&mut self) {
        if let Some(announcer) = self.announcer.take() {
            announcer.abort();
        }
    }

    /// Lets another worker with this id take the place of this one, and announces it periodically.
    pub fn replace_worker(&mut self, id: &str) {
        self.stop_announcing();
        self.worker.replace(id);
        self.start_announcing();
    }

    /// Returns the address at which the node accepts announcements.
    pub const fn announcements(&self) -> SocketAddr {
        self.announcements
    }

    fn start_announcing(&mut self) {
        self.announcer = Some(self.worker.announce_repeatedly(self.announcements));
    }
}

impl Fleet {
    /// Starts a fleet with one node for each data centre and service, without waiting until
    /// the nodes are ready.
    pub async fn start(data_centres: &[&str], services: &[&str]) -> Result<Self> {
        Self::start_with_grace(data_centres, services, GRACE).await
    }

    /// Starts a fleet like [`Self::start`], in which a stop of a node may take `grace`.
    pub async fn start_with_grace(
        data_centres: &[&str],
        services: &[&str],
        grace: Duration,
    ) -> Result<Self> {
        let harness = Harness::new()?;
        let store = KvServer::start(harness.any_port()).await?;
        let address = store.address();
        Self::start_nodes(harness, store, |_| address, data_centres, services, grace).await
    }

    /// Starts a fleet like [`Self::start_with_grace`] on a store that runs already. Each node reaches
    /// it at the address that `store_address` returns for the number of the node.
    pub async fn start_behind(
        store: KvServer,
        store_address: impl Fn(usize) -> SocketAddr,
        data_centres: &[&str],
        services: &[&str],
        grace: Duration,
    ) -> Result<Self> {
        Self::start_nodes(Harness::new()?, store, store_address, data_centres, services, grace)
            .await
    }

    async fn start_nodes(
        mut harness: Harness,
        store: KvServer,
        store_address: impl Fn(usize) -> SocketAddr,
        data_centres: &[&str],
        services: &[&str],
        grace: Duration,
    ) -> Result<Self> {
        let mut nodes = Vec::new();
        for data_centre in data_centres {
            for service in services {
                let store = store_address(nodes.len());
                nodes.push(start_node(&mut harness, store, data_centre, service, grace).await?);
            }
        }
        Ok(Self { store, nodes, harness, raw_nodes: Vec::new() })
    }

    /// Starts a further node, whose worker is a [`RawWorker`], without waiting until it is ready.
    pub async fn add_raw_node(&mut self, data_centre: &str, service: &str) -> Result<RawWorker> {
        let options = WorkerOptions { slots: RAW_SLOTS, ..options(data_centre, service) };
        let worker = RawWorker::start(self.harness.any_port(), options).await?;
        let started = start_process(
            &mut self.harness,
            self.store.address(),
            data_centre,
            service,
            worker.address(),
            GRACE,
        );
        let (process, announcements) = started.await?;
        self.raw_nodes.push(RawNode::new(process, worker.announce_repeatedly(announcements)));
        Ok(worker)
    }

    /// Writes the configuration of [`ConfigDocument::new`].
    pub fn configure(&self, version: u32, services: &[&str]) {
        self.write_config(&ConfigDocument::new(version, services));
    }

    /// Writes a configuration.
    pub fn write_config(&self, document: &ConfigDocument) {
        let text = document.to_json().to_string();
        self.store.edit(|state| state.put("op/config", text.as_bytes()));
    }

    /// Writes the configuration of [`Self::configure`], in which a cold worker bears `cold_per_s` calls
    /// per second.
    pub fn configure_cold(&self, version: u32, services: &[&str], cold_per_s: f64) {
        let mut config = ConfigDocument::new(version, services).to_json();
        let resources = config["resources"].as_array_mut().into_iter().flatten();
        for service in resources.filter(|resource| resource["type"] == "services") {
            service["spec"]["cold_start_s"] = json!(3.0);
            service["spec"]["cold_per_s"] = json!(cold_per_s);
        }
        self.store.edit(|state| state.put("op/config", config.to_string().as_bytes()));
    }

    /// Orders the evacuation of `data_centre`, or withdraws the order.
    pub fn evacuate(&self, data_centre: &str, is_ordered: bool) {
        let key = format!("op/evacuate/{data_centre}");
        self.store.edit(
            |state| {
                if is_ordered { state.put(&key, b"{}") } else { state.remove(&key) }
            },
        );
    }

    /// Returns the address that a node printed under `purpose`, such as `callers`.
    pub fn address(&self, node: usize, purpose: &str) -> Result<SocketAddr> {
        self.harness.address(self.nodes[node].process, purpose)
    }

    /// Returns a client for the address on which the `index`th node with a [`RawWorker`] accepts
    /// calls.
    pub fn raw_caller(&self, index: usize) -> Result<HttpClient> {
        Ok(HttpClient::new(self.harness.address(self.raw_nodes[index].process(), "callers")?))
    }

    /// Kills the `index`th node with a [`RawWorker`] with SIGKILL and starts it again. The worker
    /// goes on.
    pub async fn restart_raw(&mut self, index: usize) -> Result<()> {
        self.harness.kill(self.raw_nodes[index].process())?;
        self.harness.restart(self.raw_nodes[index].process(), None).await
    }

    /// Returns the metrics of the `index`th node with a [`RawWorker`].
    pub async fn raw_metrics(&self, index: usize) -> Result<Metrics> {
        let address = self.harness.address(self.raw_nodes[index].process(), "metrics")?;
        let reply = HttpClient::new(address).get("/metrics").await?;
        Metrics::parse(&String::from_utf8_lossy(&reply.body))
    }

    /// Returns the resources that the `index`th node with a [`RawWorker`] uses.
    pub fn raw_usage(&self, index: usize) -> Result<ProcessUsage> {
        ProcessUsage::of(self.harness.pid(self.raw_nodes[index].process())?)
    }

    /// Returns the resources that a node uses.
    pub fn usage(&self, node: usize) -> Result<ProcessUsage> {
        ProcessUsage::of(self.harness.pid(self.nodes[node].process)?)
    }

    /// Returns a client for the address on which a node accepts calls.
    pub fn caller(&self, node: usize) -> Result<HttpClient> {
        Ok(HttpClient::new(self.address(node, "callers")?))
    }

    /// Waits until the readiness check of a node answers with status 200.
    pub async fn wait_until_ready(&self, node: usize) -> Result<()> {
        let client = HttpClient::new(self.address(node, "ready")?);
        wait_until("readiness", || async {
            let reply = client.get("/almondsail/readyz").await?;
            ensure!(reply.status == 200, "the node answers {}", reply.status);
            Ok(())
        })
        .await
    }

    /// Waits until a worker of `service` answers a request that is sent through `node`.
    pub async fn wait_until_served(&self, node: usize, service: &str) -> Result<()> {
        wait_until_served(&self.caller(node)?, service).await
    }

    /// Waits until a worker of `service` answers a request that is sent through the `index`th node
    /// with a [`RawWorker`].
    pub async fn wait_until_raw_serves(&self, index: usize, service: &str) -> Result<()> {
        wait_until_served(&self.raw_caller(index)?, service).await
    }

    /// Waits until each node hears all other nodes and can send calls to the workers of all.
    pub async fn wait_until_joined(&self) -> Result<()> {
        for node in 0..self.nodes.len() {
            let client = HttpClient::new(self.address(node, "metrics")?);
            wait_until("all nodes and workers known", || async {
                let reply = client.get("/metrics").await?;
                let metrics = Metrics::parse(&String::from_utf8_lossy(&reply.body))?;
                let known = (metrics.sum("fleet_peers"), metrics.sum("fleet_backends"));
                let all = self.nodes.len() as f64;
                ensure!(known == (all - 1.0, all), "node {node} knows {known:?}");
                Ok(())
            })
            .await?;
        }
        Ok(())
    }

    /// Kills a node with SIGKILL, like a crash.
    pub fn kill(&mut self, node: usize) -> Result<()> {
        self.harness.kill(self.nodes[node].process)
    }

    /// Starts a node again after it has exited.
    pub async fn restart(&mut self, node: usize) -> Result<()> {
        self.harness.restart(self.nodes[node].process, None).await
    }

    /// Sends SIGTERM to a node without waiting for it to exit.
    pub fn request_stop(&self, node: usize) -> Result<()> {
        self.harness.request_stop(self.nodes[node].process)
    }

    /// Returns an error if a node that was not stopped has exited.
    pub fn check_running(&mut self) -> Result<()> {
        self.harness.check_running()
    }

    /// Returns what a node has written to stderr, including earlier starts.
    pub fn stderr(&self, node: usize) -> Result<String> {
        self.harness.stderr(self.nodes[node].process)
    }

    /// Returns what a node has written to its log, including earlier starts.
    pub fn log(&self, node: usize) -> Result<String> {
        self.harness.stdout(self.nodes[node].process)
    }

    /// Suspends a node with SIGSTOP until it is resumed.
    pub fn suspend(&self, node: usize) -> Result<()> {
        self.harness.suspend(self.nodes[node].process)
    }

    /// Resumes a suspended node with SIGCONT.
    pub fn resume(&self, node: usize) -> Result<()> {
        self.harness.resume(self.nodes[node].process)
    }

    /// Sends SIGHUP to a node.
    pub fn request_reload(&self, node: usize) -> Result<()> {
        self.harness.request_reload(self.nodes[node].process)
    }

    /// Stops reading the log that a node writes to stdout, so that its pipe fills up.
    pub fn stop_reading(&self, node: usize) -> Result<()> {
        self.harness.stop_reading(self.nodes[node].process)
    }

    /// Returns the status of a node that has exited by now.
    pub fn try_exit(&mut self, node: usize) -> Result<Option<std::process::ExitStatus>> {
        self.harness.try_exit(self.nodes[node].process)
    }

    /// Waits for a node to exit and returns its status.
    pub async fn wait_for_exit(&mut self, node: usize) -> Result<std::process::ExitStatus> {
        self.harness.wait_for_exit(self.nodes[node].process).await
    }
}

async fn start_node(
    harness: &mut Harness,
    store: SocketAddr,
    data_centre: &str,
    service: &str,
    grace: Duration,
) -> Result<FleetNode> {
    let worker = Worker::start(harness.any_port(), options(data_centre, service)).await?;
    let started = start_process(harness, store, data_centre, service, worker.address(), grace);
    let (process, announcements) = started.await?;
    let name = node_name(data_centre, service);
    let mut node = FleetNode { name, worker, process, announcements, announcer: None };
    node.start_announcing();
    Ok(node)
}

/// Waits until a worker of `service` answers a request of `client`.
async fn wait_until_served(client: &HttpClient, service: &str) -> Result<()> {
    let host = format!("{service}.example");
    wait_until("an answer", || async {
        let headers = [("host", host.as_str()), ("almondsail-attempt-id", "probe")];
        let reply = client.send(http::Method::GET, "/safe/", Default::default(), &headers);
        let reply = reply.await?;
        ensure!(reply.status == 200, "the node answers {}", reply.status);
        Ok(())
    })
    .await
}

fn node_name(data_centre: &str, service: &str) -> String {
    format!("{data_centre}-{service}")
}

fn options(data_centre: &str, service: &str) -> WorkerOptions {
    WorkerOptions {
        id: format!("i-{}", node_name(data_centre, service)),
        service: service.to_owned(),
        version: "v1".to_owned(),
        data_centre: data_centre.to_owned(),
        slots: 4,
        run_time: Duration::from_millis(5),
    }
}

/// Starts the process of a node whose worker has the address `backend`. Returns the process and
/// the node's address for announcements.
async fn start_process(
    harness: &mut Harness,
    store: SocketAddr,
    data_centre: &str,
    service: &str,
    backend: SocketAddr,
    grace: Duration,
) -> Result<(ProcessId, SocketAddr)> {
    let name = node_name(data_centre, service);
    // As on the platform, these ports are fixed, so that the worker and the other nodes
    // reach the node after a restart.
    let (announcements, nodes) = (harness.reserve_port()?, harness.reserve_port()?);
    let any = harness.any_port().to_string();
    let settings = json!({"fleet": {
        "id": name,
        "data_centre": data_centre,
        "listen": {
            "callers": any, "nodes": nodes.to_string(), "ready": any, "metrics": any,
            "announcements": announcements.to_string(),
        },
        "store": store.to_string(),
        "backend": backend.to_string(),
        "service": service,
        "grace_s": grace.as_secs_f64(),
    }});
    let file = format!("{name}.jsonc");
    harness.write_file(&file, &settings.to_string())?;
    let process = harness
        .start(Launch::new(Binary::Node, &name).with_argument(file).keeping_stdout())
        .await?;
    Ok((process, announcements))
}
