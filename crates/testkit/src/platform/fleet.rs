//! A fleet of nodes on the platform's stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, ensure};
use serde_json::json;

use super::{KvServer, Worker, WorkerOptions};
use crate::harness::{Binary, Harness, Launch, ProcessId, wait_until};
use crate::http::HttpClient;

/// How often workers announce themselves.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Nodes, each a process of its own with a worker beside it, and the store in this process.
#[derive(Debug)]
pub struct Fleet {
    /// The store.
    pub store: KvServer,
    /// The nodes.
    pub nodes: Vec<FleetNode>,
    harness: Harness,
}

/// A node and the worker beside it.
#[derive(Debug)]
pub struct FleetNode {
    /// Its name.
    pub name: String,
    /// The worker.
    pub worker: Worker,
    process: ProcessId,
    /// Where workers announce themselves. The same after a restart.
    announcements: SocketAddr,
    announcer: Option<tokio::task::JoinHandle<()>>,
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        self.stop_announcing();
    }
}

impl FleetNode {
    /// Ends the worker's announcements.
    pub fn stop_announcing(&mut self) {
        if let Some(announcer) = self.announcer.take() {
            announcer.abort();
        }
    }

    fn start_announcing(&mut self) {
        let (worker, node) = (self.worker.clone(), self.announcements);
        self.announcer = Some(tokio::spawn(async move {
            loop {
                // A node that is down takes no announcement; the next one may arrive.
                let _refused = worker.announce(node, "ready").await;
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        }));
    }
}

impl Fleet {
    /// Starts a fleet with one node for each data centre and service, and waits for nothing.
    pub async fn start(data_centres: &[&str], services: &[&str]) -> Result<Self> {
        let mut harness = Harness::new()?;
        let store = KvServer::start(harness.any_port()).await?;
        let mut nodes = Vec::new();
        for data_centre in data_centres {
            for service in services {
                nodes.push(start_node(&mut harness, &store, data_centre, service).await?);
            }
        }
        Ok(Self { store, nodes, harness })
    }

    /// Writes a configuration in which each service has the host `SERVICE.example`: `/safe/` is
    /// idempotent and `/unsafe/` is not.
    pub fn configure(&self, version: u32, services: &[&str]) {
        let route = |service: &str, kind: &str| {
            json!({
                "type": "routes",
                "metadata": {"name": format!("{service}-{kind}")},
                "spec": {
                    "host": format!("{service}.example"), "prefix": format!("/{kind}/"),
                    "kind": kind, "timeout_ms": 20_000, "target_latency_ms": 2_000,
                    "priority": 1, "service": service, "max_attempts": 2,
                },
            })
        };
        let settings = |service: &str| {
            json!({
                "type": "services", "metadata": {"name": service},
                "spec": {"health_path": "/healthz", "max_connections": 50},
            })
        };
        let mut resources = vec![json!({
            "type": "limits", "metadata": {},
            "spec": {
                "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
        })];
        for service in services {
            resources.extend([route(service, "safe"), route(service, "unsafe"), settings(service)]);
        }
        let config = json!({"version": format!("{version:08x}"), "resources": resources});
        self.store.edit(|state| state.put("op/config", config.to_string().as_bytes()));
    }

    /// The address of a node, by its purpose.
    pub fn address(&self, node: usize, purpose: &str) -> Result<SocketAddr> {
        self.harness.address(self.nodes[node].process, purpose)
    }

    /// A client of a node's address for callers.
    pub fn caller(&self, node: usize) -> Result<HttpClient> {
        Ok(HttpClient::new(self.address(node, "callers")?))
    }

    /// Waits until a node says that it is ready.
    pub async fn wait_until_ready(&self, node: usize) -> Result<()> {
        let client = HttpClient::new(self.address(node, "ready")?);
        wait_until("readiness", || async {
            let reply = client.get("/almondsail/readyz").await?;
            ensure!(reply.status == 200, "the node answers {}", reply.status);
            Ok(())
        })
        .await
    }

    /// Waits until a request through `node` to `service` is answered by a worker.
    pub async fn wait_until_served(&self, node: usize, service: &str) -> Result<()> {
        let client = self.caller(node)?;
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

    /// Kills a node.
    pub fn kill(&mut self, node: usize) -> Result<()> {
        self.harness.kill(self.nodes[node].process)
    }

    /// Starts a node again that has ended.
    pub async fn restart(&mut self, node: usize) -> Result<()> {
        self.harness.restart(self.nodes[node].process, None).await
    }

    /// Asks a node to stop.
    pub fn request_stop(&self, node: usize) -> Result<()> {
        self.harness.request_stop(self.nodes[node].process)
    }

    /// Stops to read a node's log.
    pub fn stop_reading(&self, node: usize) -> Result<()> {
        self.harness.stop_reading(self.nodes[node].process)
    }

    /// Waits until a node has ended by itself.
    pub async fn ended(&mut self, node: usize) -> Result<std::process::ExitStatus> {
        self.harness.wait_for_exit(self.nodes[node].process).await
    }
}

async fn start_node(
    harness: &mut Harness,
    store: &KvServer,
    data_centre: &str,
    service: &str,
) -> Result<FleetNode> {
    let name = format!("{data_centre}-{service}");
    let options = WorkerOptions {
        id: format!("i-{name}"),
        service: service.to_owned(),
        version: "v1".to_owned(),
        data_centre: data_centre.to_owned(),
        run_time: Duration::from_millis(5),
    };
    let worker = Worker::start(harness.any_port(), options).await?;
    // Fixed ports, as on the platform: the worker and the other nodes find the node there
    // after a restart.
    let fixed = || std::net::TcpListener::bind(harness.any_port())?.local_addr();
    let (announcements, nodes) = (fixed()?, fixed()?);
    let any = harness.any_port().to_string();
    let settings = json!({"fleet": {
        "id": name,
        "data_centre": data_centre,
        "listen": {
            "callers": any, "nodes": nodes.to_string(), "ready": any, "metrics": any,
            "announcements": announcements.to_string(),
        },
        "store": store.address().to_string(),
        "backend": worker.address().to_string(),
        "service": service,
    }});
    let file = format!("{name}.jsonc");
    harness.write_file(&file, &settings.to_string())?;
    let process = harness.start(Launch::new(Binary::Node, &name).with_argument(file)).await?;
    let mut node = FleetNode { name, worker, process, announcements, announcer: None };
    node.start_announcing();
    Ok(node)
}
