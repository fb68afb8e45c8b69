//! Hands the claims of a leaving node over.

use std::sync::Arc;
use std::time::Duration;

use almondsail_core::ids::NodeId;
use almondsail_core::traffic::{HandoverClaim, handover};
use http::StatusCode;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use crate::calls::call_table::CallTable;
use crate::calls::handover_batch::{self, MAX_BATCH};
use crate::calls::handover_step::HandoverStep;
use crate::calls::traffic::Inner;

/// How often a node looks for claims to hand over: no more often than the control thread ticks.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How long a registrar may take to answer a batch.
const BATCH_TIME: Duration = Duration::from_millis(500);
/// How often a batch is sent to registrars that don't take it, before the next one follows.
const MAX_TRIES: u32 = 3;
/// How long the rest may take after the inbound listener has closed, so that a stop is not delayed
/// by registrars that are gone.
const REST_TIME: Duration = Duration::from_secs(5);

/// The handover of a node's claims to the nodes that register the keys without it.
#[derive(Debug)]
pub(crate) struct ClaimHandover {
    inner: Arc<Inner>,
    /// The number of the first claim that is still to be handed over.
    number: u64,
    /// How often the batch at `number` was sent in vain; below [`MAX_TRIES`].
    tries: u32,
}

impl ClaimHandover {
    pub(crate) const fn new(inner: Arc<Inner>) -> Self {
        Self { inner, number: 0, tries: 0 }
    }

    /// Hands claims over while the node is leaving, until dropped.
    pub(crate) async fn run(&mut self) {
        let mut look = interval(LOOK_EVERY);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            look.tick().await;
            while self.inner.table().snapshot.leaving && self.hand_batch().await.is_more() {}
        }
    }

    /// Hands the rest over after the inbound listener has closed.
    pub(crate) async fn finish(&mut self) {
        let rest = async {
            while self.inner.table().snapshot.leaving {
                match self.hand_batch().await {
                    HandoverStep::All => break,
                    HandoverStep::Some => {}
                    HandoverStep::Failed => sleep(LOOK_EVERY).await,
                }
            }
        };
        // Claims that remain are still known to the other registrar of their key.
        let _ = timeout(REST_TIME, rest).await;
    }

    async fn hand_batch(&mut self) -> HandoverStep {
        let table = self.inner.table();
        let (claims, next) = self.inner.claims.claims_from(self.number, MAX_BATCH);
        if claims.is_empty() {
            return HandoverStep::All;
        }
        let service_nodes = |service: &_| table.services.get(service).map(|service| &service.nodes);
        let all = table.snapshot.inbound_addrs.keys();
        let parts = handover(&table.snapshot.node, &claims, service_nodes, all);
        let sent = parts.iter().map(|(to, part)| send(&self.inner, &table, to, part));
        let is_taken = futures::future::join_all(sent).await.into_iter().all(|taken| taken);
        self.tries += 1;
        if !is_taken && self.tries < MAX_TRIES {
            return HandoverStep::Failed;
        }
        (self.number, self.tries) = (next, 0);
        HandoverStep::Some
    }
}

/// Sends `claims` to node `to`; whether it took them.
async fn send(inner: &Inner, table: &CallTable, to: &NodeId, claims: &[HandoverClaim]) -> bool {
    let (Some(pool), Ok(body)) = (table.pools.get(to), handover_batch::encode(claims)) else {
        return false;
    };
    let request = || handover_batch::to_request(&inner.token, to, body.clone());
    let Ok((response, mut exchange)) = pool.send(request, Instant::now() + BATCH_TIME).await else {
        return false;
    };
    let (parts, body) = response.into_parts();
    drop(body);
    if exchange.is_reusable() {
        pool.put(exchange);
    }
    parts.status == StatusCode::OK
}
