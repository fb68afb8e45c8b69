//! A running mesh of processes.

use std::net::SocketAddr;

use almondsail_core::config::Change;
use eyre::{Result, WrapErr, ensure, eyre};

use super::changes;
use super::{MeshBuilder, MeshNode, Metrics, NodeSettings, Operator, ProcessUsage, StoreEditor};
use crate::backend::{Execution, Faults};
use crate::harness::{Harness, ProcessId, wait_until};
use crate::http::HttpClient;
use crate::store::{StoreCounts, StoreMode};

/// A running mesh of processes: a key-value store, nodes and their backend servers.
#[derive(Debug)]
pub struct Mesh {
    processes: MeshProcesses,
}

/// The processes of a mesh, to which the builder adds nodes.
#[derive(Debug)]
pub(super) struct MeshProcesses {
    pub(super) harness: Harness,
    pub(super) store: ProcessId,
    pub(super) nodes: Vec<MeshNode>,
}

impl MeshProcesses {
    /// Returns the peer addresses of the last `count` nodes that were started.
    pub(super) fn seeds(&self, count: usize) -> Result<Vec<SocketAddr>> {
        let newest = self.nodes.iter().rev().take(count);
        newest.map(|node| self.harness.address(node.node, "peers")).collect()
    }
}

impl Mesh {
    /// The software version of the backend servers, unless the builder sets others.
    pub const BACKEND_VERSION: &'static str = "v1";

    /// The name of the gauge for the configuration version that a node applies.
    pub const CONFIG_VERSION_GAUGE: &'static str = "almondsail_config_version";

    /// Returns a builder for a mesh.
    pub fn builder() -> MeshBuilder {
        MeshBuilder::default()
    }

    pub(super) fn new(processes: MeshProcesses) -> Self {
        Self { processes }
    }

    /// Returns the name of the file to which the backend server at `index` logs its executions.
    pub(super) fn execution_log_name(index: usize) -> String {
        format!("executions-{index}.log")
    }

    /// Returns the harness that runs the processes.
    pub fn harness(&mut self) -> &mut Harness {
        &mut self.processes.harness
    }

    /// Returns the nodes in the order of their first start, including stopped ones.
    pub fn nodes(&self) -> &[MeshNode] {
        &self.processes.nodes
    }

    /// Returns the id of the process that runs the store.
    pub fn store_process(&self) -> ProcessId {
        self.processes.store
    }

    /// Returns a client for the store.
    pub fn store(&self) -> Result<HttpClient> {
        self.client(self.processes.store, "address")
    }

    /// Sets the faults injected into the store, replacing earlier ones.
    pub async fn set_store_mode(&self, mode: StoreMode) -> Result<()> {
        self.store()?.put("/control/mode", serde_json::to_vec(&mode)?).await?.success()
    }

    /// Returns the number of calls that the store received, by kind.
    pub async fn store_counts(&self) -> Result<StoreCounts> {
        self.store()?.get("/control/counts").await?.json()
    }

    /// Returns an operator whose commands go to the node at `index`.
    pub fn operator(&self, index: usize) -> Result<Operator> {
        let token_file = self.processes.harness.folder().join(NodeSettings::TOKEN_FILE);
        Ok(Operator::new(self.address(index, "operators")?, token_file))
    }

    /// Returns the address that the node at `index` printed under `name`, such as `callers`.
    pub fn address(&self, index: usize, name: &str) -> Result<SocketAddr> {
        self.processes.harness.address(self.node(index)?.node, name)
    }

    /// Returns the addresses on which the running nodes accept calls.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let address = |node: &MeshNode| self.processes.harness.address(node.node, "callers").ok();
        self.processes.nodes.iter().filter_map(address).collect()
    }

    /// Reads the metrics of the node at `index`.
    pub async fn metrics(&self, index: usize) -> Result<Metrics> {
        let reply = HttpClient::new(self.address(index, "local")?).get("/metrics").await?;
        reply.success()?;
        Metrics::parse(&String::from_utf8_lossy(&reply.body))
    }

    /// Returns the memory and processor time used by the node at `index`.
    pub fn usage(&self, index: usize) -> Result<ProcessUsage> {
        ProcessUsage::of(self.processes.harness.pid(self.node(index)?.node)?)
    }

    /// Returns the configuration version that the node at `index` applies; zero if it has none.
    pub async fn config_version(&self, index: usize) -> Result<u64> {
        Ok(self.metrics(index).await?.sum(Self::CONFIG_VERSION_GAUGE) as u64)
    }

    /// Sets the faults injected into the backend server at `index`, replacing earlier ones.
    pub async fn set_faults(&self, index: usize, faults: &Faults) -> Result<()> {
        let control = self.client(self.backend(index)?, "control")?;
        control.put("/control/faults", serde_json::to_vec(faults)?).await?.success()
    }

    /// Returns the executions of the backend server at `index` since its last start.
    pub async fn executions_at(&self, index: usize) -> Result<Vec<Execution>> {
        let control = self.client(self.backend(index)?, "control")?;
        control.get("/control/executions").await?.json()
    }

    /// Returns all executions of all backend servers, including those before a restart.
    pub fn executions(&self) -> Result<Vec<Execution>> {
        let mut executions = Vec::new();
        for index in 0..self.processes.nodes.len() {
            let path = self.processes.harness.folder().join(Self::execution_log_name(index));
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            for line in text.lines() {
                executions.push(serde_json::from_str(line).wrap_err_with(|| line.to_owned())?);
            }
        }
        Ok(executions)
    }

    /// Creates each service by operators' commands: the version
    /// [`BACKEND_VERSION`](Self::BACKEND_VERSION), an idempotent route `/SERVICE` and a
    /// non-idempotent route `/SERVICE/book`.
    pub async fn configure(&self, services: &[&str]) -> Result<()> {
        let operator = self.operator(0)?;
        for service in services {
            for command in Self::service_commands(service) {
                operator.run(&command).await?;
            }
        }
        Ok(())
    }

    /// Returns the commands by which [`configure`](Self::configure) creates a service.
    pub fn service_commands(service: &str) -> [String; 4] {
        let version = Self::BACKEND_VERSION;
        let route = |name: &str, path: &str, kind: &str| {
            format!(
                "create route {service}-{name} service {service} prefix {path} {kind} \
                 priority interactive deadline 5000ms"
            )
        };
        [
            format!("create service {service} team depots"),
            format!("create version {service}/{version}"),
            route("lookup", &format!("/{service}"), "idempotent"),
            route("book", &format!("/{service}/book"), "non-idempotent"),
        ]
    }

    /// Creates the same services as [`configure`](Self::configure) by writing to the
    /// store as a node does, without the command line and the operators' interface.
    pub async fn configure_in_store(&self, services: &[&str]) -> Result<()> {
        for service in services {
            self.change_in_store(&changes::service(service, Self::BACKEND_VERSION)?).await?;
        }
        Ok(())
    }

    /// Writes changes to the store as a node does and returns the new configuration version.
    pub async fn change_in_store(&self, changes: &[Change]) -> Result<u64> {
        StoreEditor::new(self.store()?).apply(changes).await
    }

    /// Waits until a GET request for `target` succeeds through every running node.
    pub async fn wait_until_served(&self, target: &str) -> Result<()> {
        for entry in self.caller_addresses() {
            let client = HttpClient::new(entry);
            wait_until(&format!("{target} through {entry}"), || async {
                let reply = client.get(target).await?;
                let reason = reply.header("almondsail-reason").unwrap_or("").to_owned();
                reply.success().wrap_err(reason)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until the backend server at `index` takes calls again: an execution
    /// appears in the log of its new process.
    pub async fn wait_until_own_backend(&self, index: usize) -> Result<()> {
        let node = self.node(index)?;
        let control = self.client(self.backend(index)?, "control")?;
        let entry = HttpClient::new(self.address(index, "callers")?);
        let target = format!("/{}/item", node.service);
        wait_until(&format!("the backend server {index}"), || async {
            entry.get(&target).await?.success()?;
            let executions: Vec<Execution> = control.get("/control/executions").await?.json()?;
            ensure!(!executions.is_empty(), "the backend server got no call");
            Ok(())
        })
        .await
    }

    /// Kills the node at `index` with SIGKILL, like a crash.
    pub fn kill_node(&mut self, index: usize) -> Result<()> {
        let id = self.node(index)?.node;
        self.processes.harness.kill(id)
    }

    /// Sends SIGTERM to the node at `index`, waits for it to exit and checks its status.
    pub async fn stop_node(&mut self, index: usize) -> Result<()> {
        let id = self.node(index)?.node;
        let status = self.processes.harness.stop(id).await?;
        ensure!(status.success(), "the node {index} exited with {status}");
        Ok(())
    }

    /// Starts the node at `index` again on its former addresses, with running nodes as seeds.
    pub async fn start_node(&mut self, index: usize) -> Result<()> {
        let node = self.node(index)?.clone();
        let others = self.processes.nodes.iter().filter(|other| other.name != node.name);
        let peers = |other: &MeshNode| self.processes.harness.address(other.node, "peers").ok();
        let seeds: Vec<_> = others.filter_map(peers).take(3).collect();
        let text = node.settings.seeds(seeds).text()?;
        self.processes.harness.write_file(&format!("{}.json", node.name), &text)?;
        self.processes.harness.restart(node.node, None).await
    }

    /// Stops the backend server at `index` and starts it again on its former address.
    pub async fn restart_backend(&mut self, index: usize) -> Result<()> {
        let id = self.backend(index)?;
        let address = self.processes.harness.address(id, "address")?;
        let status = self.processes.harness.stop(id).await?;
        ensure!(status.success(), "the backend server {index} exited with {status}");
        let node = self.address(index, "local")?;
        let launch = self.processes.harness.launch(id)?.clone();
        let launch =
            launch.with_option("listen", address.to_string()).with_option("node", node.to_string());
        self.processes.harness.restart(id, Some(launch)).await
    }

    fn node(&self, index: usize) -> Result<&MeshNode> {
        self.processes.nodes.get(index).ok_or_else(|| eyre!("there is no node {index}"))
    }

    fn backend(&self, index: usize) -> Result<ProcessId> {
        self.node(index)?.backend.ok_or_else(|| eyre!("the node {index} has no backend server"))
    }

    fn client(&self, id: ProcessId, name: &str) -> Result<HttpClient> {
        Ok(HttpClient::new(self.processes.harness.address(id, name)?))
    }
}
