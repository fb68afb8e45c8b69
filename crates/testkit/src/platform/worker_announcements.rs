//! The announcements that a worker sends to the node beside it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{Result, ensure};
use serde_json::json;
use tokio::task::JoinHandle;

use super::WorkerOptions;
use crate::http::HttpClient;

/// Time between two announcements of a worker.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Sends the announcements of one start of a worker; clones share their sequence.
#[derive(Debug, Clone)]
pub(super) struct WorkerAnnouncements {
    address: SocketAddr,
    options: WorkerOptions,
    identity: Arc<Mutex<Identity>>,
    sequence: Arc<AtomicU64>,
    /// The time, in milliseconds, for which the worker announces that it stays cold.
    cold_ms: Arc<AtomicU64>,
}

/// The id and the start time of the worker that announces itself at present.
#[derive(Debug, Clone)]
struct Identity {
    id: String,
    started_at: u64,
}

impl WorkerAnnouncements {
    /// Creates the announcements of a worker that accepts requests on `address`.
    pub(super) fn new(address: SocketAddr, options: WorkerOptions) -> Self {
        let identity = Identity { id: options.id.clone(), started_at: 1_000 };
        let identity = Arc::new(Mutex::new(identity));
        Self { address, options, identity, sequence: Arc::default(), cold_ms: Arc::default() }
    }

    /// Returns the id of the worker.
    pub(super) fn id(&self) -> String {
        self.identity().id
    }

    /// Lets another worker, with a later start, take the place of this one.
    pub(super) fn replace(&self, id: &str) {
        let mut identity = self.identity.lock().unwrap_or_else(PoisonError::into_inner);
        identity.id = id.to_owned();
        identity.started_at += 1;
    }

    fn identity(&self) -> Identity {
        self.identity.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the address on which the worker accepts requests.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the time for which the worker announces from now on that it stays cold.
    pub(super) fn set_cold(&self, cold: Duration) {
        let cold_ms = u64::try_from(cold.as_millis()).unwrap_or(u64::MAX);
        self.cold_ms.store(cold_ms, Ordering::Relaxed);
    }

    /// Announces the worker with `state` to the node that accepts announcements at `node`.
    pub(super) async fn announce(&self, node: SocketAddr, state: &str) -> Result<()> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let identity = self.identity();
        let body = json!({
            "address": self.address.to_string(),
            "born": identity.started_at,
            "info": {
                "service": self.options.service,
                "version": self.options.version,
                "zone": self.options.data_centre,
                "capacity": self.options.slots,
            },
            "status": {
                "state": state, "sequence": sequence,
                "cold_remaining_ms": self.cold_ms.load(Ordering::Relaxed),
            },
        });
        let reply = HttpClient::new(node).put(&path(&identity.id), body.to_string()).await?;
        ensure!(reply.status == 200, "the announcement got {}", reply.status);
        Ok(())
    }

    /// Announces to the node that the worker leaves.
    pub(super) async fn leave(&self, node: SocketAddr) -> Result<()> {
        let reply = HttpClient::new(node).delete(&path(&self.id())).await?;
        ensure!(reply.status == 200, "the notice got {}", reply.status);
        Ok(())
    }

    /// Announces the worker as ready to `node`, again and again until the task is aborted.
    pub(super) fn repeat(self, node: SocketAddr) -> JoinHandle<()> {
        tokio::spawn(async move {
            loop {
                // Announcements fail while the node is down; the next one may succeed.
                let _refused = self.announce(node, "ready").await;
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        })
    }
}

fn path(id: &str) -> String {
    format!("/almondsail/instances/{id}")
}
