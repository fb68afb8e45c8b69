//! Hands over the claims of a leaving node.

use std::sync::Arc;
use std::time::Duration;

use almondsail_core::ids::NodeId;
use almondsail_core::traffic::{HandoverClaim, handover};
use http::StatusCode;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::calls::batch_outcome::BatchOutcome;
use crate::calls::handover_batch::{self, MAX_BATCH};
use crate::calls::routing_table::RoutingTable;
use crate::calls::traffic::Inner;

/// How often a node looks for claims to hand over: no more often than the control thread ticks.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// How long a registrar may take to answer a batch.
const BATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a batch is sent to registrars that don't accept it, before it is given up.
const MAX_ATTEMPTS: u32 = 3;
/// How long the handover may go on after the inbound listener has closed. Unreachable registrars
/// would otherwise delay the stop.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// Hands over the claims of this node to the nodes that become registrars of the keys in its place.
#[derive(Debug)]
pub(crate) struct ClaimHandover {
    inner: Arc<Inner>,
    /// The sequence number of the first claim that is not handed over yet.
    next_number: u64,
    /// How often the batch at `next_number` has failed; below [`MAX_ATTEMPTS`].
    attempts: u32,
}

impl ClaimHandover {
    pub(crate) const fn new(inner: Arc<Inner>) -> Self {
        Self { inner, next_number: 0, attempts: 0 }
    }

    /// Hands over claims whenever the node is leaving; never returns.
    pub(crate) async fn run(&mut self) {
        let mut scan = interval(SCAN_INTERVAL);
        scan.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            scan.tick().await;
            while self.inner.table().snapshot.leaving && self.send_batch().await.is_finished() {}
        }
    }

    /// Hands over the remaining claims after the inbound listener has closed.
    pub(crate) async fn finish(&mut self) {
        let remaining = async {
            while self.inner.table().snapshot.leaving {
                match self.send_batch().await {
                    BatchOutcome::NoClaims => break,
                    BatchOutcome::Finished => {}
                    BatchOutcome::Retry => sleep(SCAN_INTERVAL).await,
                }
            }
        };
        // A claim that was not handed over is still known to the other registrar of its key.
        let _ = timeout(FINISH_TIMEOUT, remaining).await;
    }

    async fn send_batch(&mut self) -> BatchOutcome {
        let table = self.inner.table();
        let (claims, next) = self.inner.claims.claims_from(self.next_number, MAX_BATCH);
        if claims.is_empty() {
            return BatchOutcome::NoClaims;
        }
        let service_nodes = |service: &_| table.services.get(service).map(|service| &service.nodes);
        let all = table.snapshot.inbound_addrs.keys();
        let batches = handover(&table.snapshot.node, &claims, service_nodes, all);
        let sent = batches.iter().map(|(to, batch)| send(&self.inner, &table, to, batch));
        let is_accepted =
            futures::future::join_all(sent).await.into_iter().all(|accepted| accepted);
        self.attempts += 1;
        if !is_accepted && self.attempts < MAX_ATTEMPTS {
            return BatchOutcome::Retry;
        }
        (self.next_number, self.attempts) = (next, 0);
        BatchOutcome::Finished
    }
}

/// Sends `claims` to node `to` and returns whether it accepted them.
async fn send(inner: &Inner, table: &RoutingTable, to: &NodeId, claims: &[HandoverClaim]) -> bool {
    let (Some(pool), Ok(body)) = (table.pools.get(to), handover_batch::encode(claims)) else {
        return false;
    };
    let request = || handover_batch::to_request(&inner.token, to, body.clone());
    let Ok((response, mut connection)) = pool.send(request, Instant::now() + BATCH_TIMEOUT).await
    else {
        return false;
    };
    let (parts, body) = response.into_parts();
    drop(body);
    if connection.is_reusable() {
        pool.release(connection);
    }
    parts.status == StatusCode::OK
}
