//! The claim of a call at the registrars of its key.

use std::sync::Arc;
use std::time::Duration;

use almondsail_core::RefusalReason;
use almondsail_core::ids::{CallKey, NodeId};
use almondsail_core::traffic::{CallKeys, ClaimAnswer, ClaimDecision};
use almondsail_core::units::Micros;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use http::{HeaderMap, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::calls::call_headers as names;
use crate::calls::call_table::CallTable;
use crate::calls::claim::Claim;
use crate::calls::failure::Failure;
use crate::calls::forwarded_call::{ForwardedCall, InboundRequestKind, required};
use crate::calls::traffic::Inner;

/// How long a registrar may take to answer.
const CLAIM_TIME: Duration = Duration::from_millis(500);

/// How long the remaining registrars may take once most of them have granted the key.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(20);

/// The claim of a call at its registrars. Released on drop unless [`Self::keep`] was called.
pub(crate) struct HeldClaim {
    inner: Arc<Inner>,
    claim: Claim,
    registrars: Vec<NodeId>,
    is_kept: bool,
}

impl HeldClaim {
    /// Claims the key of `call` at its registrars; see [`ClaimDecision::new`].
    pub(crate) async fn take(
        inner: &Arc<Inner>,
        table: &CallTable,
        call: &ForwardedCall,
        key: &CallKey,
    ) -> Result<Self, Failure> {
        let holder = table.snapshot.node.clone();
        let claim =
            Claim { service: call.service.clone(), key: key.clone(), call: call.id, holder };
        let chosen = table.registrars(&call.service, key);
        let held = Self { inner: Arc::clone(inner), claim, registrars: chosen, is_kept: false };
        let answers = held.ask_all(table).await;
        let age = table.stable_time(&call.service, inner.clock.now());
        let is_stable = age > Micros::from(CallKeys::RETENTION);
        match ClaimDecision::new(&answers, call.attempt > 1, is_stable) {
            ClaimDecision::Run => Ok(held),
            ClaimDecision::Held { holder } => Err(Failure {
                holder: Some(holder),
                ..Failure::may_have_run(RefusalReason::RepeatInDoubt)
            }),
            ClaimDecision::InDoubt => Err(Failure::may_have_run(RefusalReason::RepeatInDoubt)),
            ClaimDecision::Unreachable => {
                Err(Failure::unrun(RefusalReason::KeyRegistrarUnreachable))
            }
        }
    }

    /// The answers of the registrars; `None` for those that gave none in time.
    ///
    /// Once the call may run by the answers that are in, the rest are waited for only
    /// shortly, so that a frozen registrar does not delay every call.
    async fn ask_all(&self, table: &CallTable) -> Vec<Option<ClaimAnswer>> {
        let ask_one = |(i, node): (usize, &NodeId)| {
            let node = node.clone();
            async move { (i, ask(&self.inner, table, &self.claim, &node).await) }
        };
        let mut asked: FuturesUnordered<_> =
            self.registrars.iter().enumerate().map(ask_one).collect();
        let mut answers = vec![None; self.registrars.len()];
        let mut until = Instant::now() + CLAIM_TIME;
        while let Ok(Some((i, answer))) = timeout_at(until, asked.next()).await {
            answers[i] = answer;
            if ClaimDecision::new(&answers, false, true) == ClaimDecision::Run {
                until = until.min(Instant::now() + LAST_ANSWER_TIME);
            }
        }
        answers
    }

    /// Keeps the claim: the call may have run from now on.
    pub(crate) fn keep(&mut self) {
        self.is_kept = true;
    }

    /// Releases the claim of a call that was certainly not run.
    pub(crate) fn release(mut self) {
        self.is_kept = false;
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if self.is_kept {
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
                    // A claim that can't be released expires; until then repeats are in doubt.
                    let _ =
                        exchange(&inner, &table, &claim, &node, InboundRequestKind::Release).await;
                }
            }
        });
    }
}

async fn ask(
    inner: &Arc<Inner>,
    table: &CallTable,
    claim: &Claim,
    node: &NodeId,
) -> Option<ClaimAnswer> {
    if *node == table.snapshot.node {
        return Some(inner.claims.claim(claim));
    }
    let headers = exchange(inner, table, claim, node, InboundRequestKind::Claim).await?;
    let text = headers.get(names::CLAIM)?.to_str().ok()?;
    match text {
        "sure" => Some(ClaimAnswer::Granted { sure: true }),
        "granted" => Some(ClaimAnswer::Granted { sure: false }),
        "held" => {
            let holder = required(&headers, &names::HOLDER).ok()?;
            Some(ClaimAnswer::Held { holder })
        }
        "full" => Some(ClaimAnswer::Full),
        _ => None,
    }
}

/// Sends a message about `claim` to `node` and returns the headers of its answer.
async fn exchange(
    inner: &Inner,
    table: &CallTable,
    claim: &Claim,
    node: &NodeId,
    message: InboundRequestKind,
) -> Option<HeaderMap> {
    let pool = table.pools.get(node)?;
    let until = tokio::time::Instant::now() + CLAIM_TIME;
    let (response, mut exchange) =
        pool.send(|| claim.to_request(&inner.token, message), until).await.ok()?;
    let (parts, body) = response.into_parts();
    drop(body);
    if exchange.is_reusable() {
        pool.put(exchange);
    }
    (parts.status == StatusCode::OK).then_some(parts.headers)
}
