//! Configures and starts a mesh.

use eyre::{Result, WrapErr};

use super::mesh_type::MeshProcesses;
use super::{ListenAddresses, Mesh, MeshNode, NodeSettings};
use crate::harness::{Binary, Harness, Launch, ProcessId};
use crate::http::HttpClient;

/// Number of running nodes that a new node gets as seeds.
const SEEDS_PER_NODE: usize = 3;

/// Configures and starts a mesh; by default 4 nodes in 2 data centres, each with a
/// backend server of the service `bays`.
#[derive(Debug, Clone)]
pub struct MeshBuilder {
    data_centres: usize,
    nodes: usize,
    services: Vec<String>,
    /// The versions of the backend servers, assigned in rotation; not empty.
    versions: Vec<String>,
    backend_options: Vec<(String, String)>,
    /// Number of backend servers, if fewer than nodes.
    backends: Option<usize>,
}

impl Default for MeshBuilder {
    fn default() -> Self {
        Self {
            data_centres: 2,
            nodes: 4,
            services: vec!["bays".to_owned()],
            versions: vec![Mesh::BACKEND_VERSION.to_owned()],
            backend_options: Vec::new(),
            backends: None,
        }
    }
}

impl MeshBuilder {
    /// Sets the number of data centres, to which the nodes are assigned in rotation.
    pub fn data_centres(self, data_centres: usize) -> Self {
        Self { data_centres, ..self }
    }

    /// Sets the number of nodes.
    pub fn nodes(self, nodes: usize) -> Self {
        Self { nodes, ..self }
    }

    /// Sets the services. Each gets an equal part of the backend servers, in order:
    /// with two services, the first half of the servers provides the first service.
    pub fn services(self, services: &[&str]) -> Self {
        Self { services: services.iter().map(|name| (*name).to_owned()).collect(), ..self }
    }

    /// Sets the versions, which are assigned to the backend servers in rotation; must
    /// not be empty.
    pub fn versions(self, versions: &[&str]) -> Self {
        Self { versions: versions.iter().map(|name| (*name).to_owned()).collect(), ..self }
    }

    /// Adds the command-line option `--NAME VALUE` to every backend server.
    pub fn backend_option(mut self, name: &str, value: &str) -> Self {
        self.backend_options.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Limits the number of backend servers. The first nodes get one each; the
    /// settings of the others name a closed port. By default every node has one.
    pub fn backends(self, backends: usize) -> Self {
        Self { backends: Some(backends), ..self }
    }

    /// Starts the processes and waits until each has printed its addresses.
    pub async fn start(self) -> Result<Mesh> {
        let mut harness = Harness::new()?;
        let listen = harness.any_port().to_string();
        harness.write_file(NodeSettings::KEY_FILE, "key-of-the-testkit-0123456789abcdef")?;
        harness.write_file(NodeSettings::TOKEN_FILE, NodeSettings::TOKEN)?;
        let store = harness
            .start(Launch::new(Binary::Store, "store").with_option("listen", &listen))
            .await?;
        let mut processes = MeshProcesses { harness, store, nodes: Vec::new() };
        for index in 0..self.nodes {
            let node = self.start_node(&mut processes, index).await?;
            processes.nodes.push(node);
        }
        Ok(Mesh::new(processes))
    }

    /// Returns the number of backend servers to start.
    fn backend_count(&self) -> usize {
        self.backends.unwrap_or(self.nodes).min(self.nodes)
    }

    /// Returns the service of the backend server at `index`, or `None` if that node has none.
    fn service(&self, index: usize) -> Option<&str> {
        let count = self.backend_count();
        (index < count).then(|| &*self.services[index * self.services.len() / count])
    }

    async fn start_node(&self, processes: &mut MeshProcesses, index: usize) -> Result<MeshNode> {
        let service = self.service(index).unwrap_or("spare");
        let name = format!("{service}-{index}");
        let backend = self.start_backend(processes, index).await?;
        let backend_address = match backend {
            Some(id) => processes.harness.address(id, "address")?,
            None => processes.harness.reserve_port()?,
        };
        let store = processes.harness.address(processes.store, "address")?;
        let listen = ListenAddresses::any_port(processes.harness.any_port());
        let settings = NodeSettings::new(&name, listen, store, backend_address)
            .data_centre(&format!("dc-{}", index % self.data_centres + 1))
            .seeds(processes.seeds(SEEDS_PER_NODE)?);
        let file = format!("{name}.json");
        processes.harness.write_file(&file, &settings.text()?)?;
        let launch = Launch::new(Binary::Node, &name).with_argument(file);
        let node = processes.harness.start(launch).await.wrap_err_with(|| name.clone())?;
        let bound = ListenAddresses::bound(processes.harness.addresses(node)?)?;
        if let Some(backend) = backend {
            let control = HttpClient::new(processes.harness.address(backend, "control")?);
            control.put("/control/node", bound.local.to_string()).await?.success()?;
        }
        Ok(MeshNode {
            name,
            service: service.to_owned(),
            node,
            backend,
            settings: settings.listen(bound),
        })
    }

    async fn start_backend(
        &self,
        processes: &mut MeshProcesses,
        index: usize,
    ) -> Result<Option<ProcessId>> {
        let Some(service) = self.service(index) else { return Ok(None) };
        let launch = Launch::new(Binary::Backend, format!("backend-{index}"))
            .with_option("listen", processes.harness.any_port().to_string())
            .with_option("service", service)
            .with_option("version", &self.versions[index % self.versions.len()])
            .with_option("log", Mesh::execution_log_name(index));
        let add =
            |launch: Launch, (name, value): &(String, String)| launch.with_option(name, value);
        let launch = self.backend_options.iter().fold(launch, add);
        processes.harness.start(launch).await.map(Some)
    }
}
