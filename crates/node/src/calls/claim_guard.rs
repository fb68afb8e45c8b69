//! Claims an idempotency key at the nodes that register it.

use std::sync::Arc;
use std::time::Duration;

use almondsail_core::RefusalReason;
use almondsail_core::ids::{CallKey, NodeId};
use almondsail_core::traffic::{ClaimAnswer, ClaimDecision, KeyClaims};
use almondsail_core::units::Micros;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use http::{HeaderMap, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::calls::call_headers;
use crate::calls::claim::Claim;
use crate::calls::failure::Failure;
use crate::calls::forwarded_call::{ForwardedCall, InboundRequestKind, required};
use crate::calls::routing_table::RoutingTable;
use crate::calls::traffic::Inner;

/// How long a registrar may take to answer a request to claim or release a key.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for the remaining registrars once most of them have granted the key.
const STRAGGLER_TIMEOUT: Duration = Duration::from_millis(20);

/// An idempotency key claimed at its registrars. Dropping releases it unless [`Self::keep`] was
/// called.
pub(crate) struct ClaimGuard {
    inner: Arc<Inner>,
    claim: Claim,
    registrars: Vec<NodeId>,
    keep_on_drop: bool,
}

impl ClaimGuard {
    /// Claims `key` for `call` at all registrars of the key.
    ///
    /// [`ClaimDecision::new`] decides by their answers whether the call may run.
    pub(crate) async fn acquire(
        inner: &Arc<Inner>,
        table: &RoutingTable,
        call: &ForwardedCall,
        key: &CallKey,
    ) -> Result<Self, Failure> {
        let holder = table.snapshot.node.clone();
        let claim =
            Claim { service: call.service.clone(), key: key.clone(), call: call.id, holder };
        let registrars = table.registrars(&call.service, key);
        let guard = Self { inner: Arc::clone(inner), claim, registrars, keep_on_drop: false };
        let answers = guard.request_all(table).await;
        let age = table.stable_for(&call.service, inner.clock.now());
        let is_stable = age > Micros::from(KeyClaims::RETENTION);
        match ClaimDecision::new(&answers, call.attempt > 1, is_stable) {
            ClaimDecision::Run => Ok(guard),
            ClaimDecision::Held { holder } => Err(Failure {
                holder: Some(holder),
                ..Failure::may_have_run(RefusalReason::RepeatInDoubt)
            }),
            ClaimDecision::InDoubt => Err(Failure::may_have_run(RefusalReason::RepeatInDoubt)),
            ClaimDecision::Unreachable => {
                Err(Failure::refused(RefusalReason::KeyRegistrarUnreachable))
            }
        }
    }

    /// Sends the claim to all registrars and returns their answers; `None` for each that gave no
    /// answer in time.
    ///
    /// Once the answers received suffice to run the call, the others are awaited only for
    /// [`STRAGGLER_TIMEOUT`], so that a frozen registrar doesn't delay every call.
    async fn request_all(&self, table: &RoutingTable) -> Vec<Option<ClaimAnswer>> {
        let request_one = |(i, node): (usize, &NodeId)| {
            let node = node.clone();
            async move { (i, request_claim(&self.inner, table, &self.claim, &node).await) }
        };
        let mut pending: FuturesUnordered<_> =
            self.registrars.iter().enumerate().map(request_one).collect();
        let mut answers = vec![None; self.registrars.len()];
        let mut until = Instant::now() + CLAIM_TIMEOUT;
        while let Ok(Some((i, answer))) = timeout_at(until, pending.next()).await {
            answers[i] = answer;
            if ClaimDecision::new(&answers, false, true) == ClaimDecision::Run {
                until = until.min(Instant::now() + STRAGGLER_TIMEOUT);
            }
        }
        answers
    }

    /// Keeps the key claimed on drop, because the call may run from now on.
    pub(crate) fn keep(&mut self) {
        self.keep_on_drop = true;
    }

    /// Releases the key of a call that certainly did not run.
    pub(crate) fn release(mut self) {
        self.keep_on_drop = false;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if self.keep_on_drop {
            return;
        }
        let (inner, claim) = (Arc::clone(&self.inner), self.claim.clone());
        let registrars = std::mem::take(&mut self.registrars);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        runtime.spawn(async move {
            let table = inner.table();
            for node in registrars {
                if node == table.snapshot.node {
                    inner.claims.release(&claim);
                } else {
                    // A key that can't be released expires. Until then repeats are refused as in
                    // doubt.
                    let _ =
                        exchange(&inner, &table, &claim, &node, InboundRequestKind::Release).await;
                }
            }
        });
    }
}

async fn request_claim(
    inner: &Arc<Inner>,
    table: &RoutingTable,
    claim: &Claim,
    node: &NodeId,
) -> Option<ClaimAnswer> {
    if *node == table.snapshot.node {
        return Some(inner.claims.claim(claim));
    }
    let headers = exchange(inner, table, claim, node, InboundRequestKind::Claim).await?;
    let text = headers.get(call_headers::CLAIM)?.to_str().ok()?;
    match text {
        "sure" => Some(ClaimAnswer::Granted { is_certain: true }),
        "granted" => Some(ClaimAnswer::Granted { is_certain: false }),
        "held" => {
            let holder = required(&headers, &call_headers::HOLDER).ok()?;
            Some(ClaimAnswer::Held { holder })
        }
        "full" => Some(ClaimAnswer::Full),
        _ => None,
    }
}

/// Sends `claim` or its release to `node` and returns the headers of the answer; `None` unless the
/// answer has status 200.
async fn exchange(
    inner: &Inner,
    table: &RoutingTable,
    claim: &Claim,
    node: &NodeId,
    message: InboundRequestKind,
) -> Option<HeaderMap> {
    let pool = table.pools.get(node)?;
    let until = tokio::time::Instant::now() + CLAIM_TIMEOUT;
    let (response, mut connection) =
        pool.send(|| claim.to_request(&inner.token, message), until).await.ok()?;
    let (parts, body) = response.into_parts();
    drop(body);
    if connection.is_reusable() {
        pool.release(connection);
    }
    (parts.status == StatusCode::OK).then_some(parts.headers)
}
