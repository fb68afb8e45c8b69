//! Runs calls at the backend server beside this node.

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::Verdict;
use almondsail_core::ids::{CallKey, Digest};
use almondsail_core::peers::BackendState;
use almondsail_core::traffic::Replay;
use http::{HeaderMap, Response};
use hyper::body::{Body as _, Incoming};

use crate::calls::answer_body::{Answer, AnswerBody};
use crate::calls::answer_limit::AnswerLimit;
use crate::calls::answer_recorder::AnswerRecorder;
use crate::calls::answer_watcher::AnswerWatcher;
use crate::calls::call_counters::CancellationGuard;
use crate::calls::call_headers;
use crate::calls::call_timer::CallTimer;
use crate::calls::claim_guard::ClaimGuard;
use crate::calls::client_connection::{ClientConnection, ExchangeError};
use crate::calls::failure::Failure;
use crate::calls::forwarded_call::ForwardedCall;
use crate::calls::recorded_answer::RecordedAnswer;
use crate::calls::routing_table::RoutingTable;
use crate::calls::slot::{Slot, SlotEnd};
use crate::calls::traffic::Inner;

/// Runs `call` and counts it, or returns the recorded answer if `call` is a replay.
pub(crate) async fn run(inner: &Arc<Inner>, call: ForwardedCall) -> Result<Answer, Failure> {
    let table = inner.table();
    let started = inner.clock.now();
    let counters = table.counters(&call.route, &call.version).map(|counters| &counters.backend);
    let cancel = CancellationGuard::new(counters);
    let result = match &call.key {
        Some(key) if call.replay => replay(inner, &call, key),
        _ => run_new(inner, &table, &call).await,
    };
    cancel.disarm();
    match (result, counters) {
        (Ok(mut answer), Some(counters)) if !call.replay => {
            let timer = CallTimer::new(Arc::clone(counters), inner.clock, started);
            answer.body_mut().watch(AnswerWatcher::Count(timer));
            Ok(answer)
        }
        (Err(failure), Some(counters)) => {
            counters.count_failure(failure.reason);
            Err(failure)
        }
        (result, _) => result,
    }
}

async fn run_new(
    inner: &Arc<Inner>,
    table: &RoutingTable,
    call: &ForwardedCall,
) -> Result<Answer, Failure> {
    check_backend(table, call).map_err(Failure::refused)?;
    let slot = inner.slots.acquire(call.priority, call.deadline).await.map_err(Failure::refused)?;
    // The backend server may have left while the call was queued.
    check_backend(&inner.table(), call).map_err(Failure::refused)?;
    let Some(key) = call.key.as_ref().filter(|_| !call.idempotent) else {
        return exchange(inner, call, slot).await;
    };
    match ClaimGuard::acquire(inner, table, call, key).await {
        Ok(claim) => run_claimed(inner, call, key, slot, claim).await,
        Err(failure) if failure.holder.as_ref() == Some(&table.snapshot.node) => {
            drop(slot);
            replay(inner, call, key)
        }
        Err(failure) => Err(failure),
    }
}

/// Returns an error if the backend server beside this node can't take `call`.
fn check_backend(table: &RoutingTable, call: &ForwardedCall) -> Result<(), RefusalReason> {
    let snapshot = &table.snapshot;
    if snapshot.leaving {
        return Err(RefusalReason::Leaving);
    }
    let Some(backend) = &snapshot.local_backend else { return Err(RefusalReason::BackendDown) };
    if backend.service != call.service || backend.version != call.version {
        return Err(RefusalReason::BackendDown);
    }
    if backend.state == BackendState::Draining {
        return Err(RefusalReason::Leaving);
    }
    if snapshot.is_stopped(&call.service, &call.version, &call.route) {
        return Err(RefusalReason::StoppedVersion);
    }
    Ok(())
}

async fn run_claimed(
    inner: &Arc<Inner>,
    call: &ForwardedCall,
    key: &CallKey,
    slot: Slot,
    mut claim: ClaimGuard,
) -> Result<Answer, Failure> {
    // A call that is cancelled from here on may have run.
    claim.keep();
    match exchange(inner, call, slot).await {
        Ok(mut answer) => {
            let recorded = RecordedAnswer {
                request_digest: digest(call),
                status: answer.status(),
                headers: answer.headers().clone(),
                body: bytes::Bytes::new(),
            };
            let recorder = AnswerRecorder::new(Arc::clone(&inner.claims), key.clone(), recorded);
            answer.body_mut().watch(AnswerWatcher::Record(recorder));
            Ok(answer)
        }
        Err(failure) => {
            if failure.verdict != Verdict::MayHaveRun {
                claim.release();
            }
            Err(failure)
        }
    }
}

fn replay(inner: &Inner, call: &ForwardedCall, key: &CallKey) -> Result<Answer, Failure> {
    match inner.claims.replay(key) {
        Replay::Answer(recorded) if recorded.request_digest == digest(call) => {
            let body = AnswerBody::recorded(recorded.status, recorded.body);
            let mut answer = Response::new(body);
            *answer.status_mut() = recorded.status;
            *answer.headers_mut() = recorded.headers;
            Ok(answer)
        }
        _ => Err(Failure::may_have_run(RefusalReason::RepeatInDoubt)),
    }
}

/// Hashes the service, method, URI and body of `call`.
fn digest(call: &ForwardedCall) -> Digest {
    let head = format!("{} {} {}\n", call.service, call.method, call.uri);
    Digest::of(&[head.as_bytes(), &call.body].concat())
}

/// Sends `call` to the backend server and reads the head of the answer.
async fn exchange(inner: &Arc<Inner>, call: &ForwardedCall, slot: Slot) -> Result<Answer, Failure> {
    let request = || call.to_backend_request(call.deadline.remaining(inner.clock.now()));
    let until = inner.clock.to_tokio_instant(call.deadline.at());
    match inner.backend_pool.send(request, until).await {
        Ok((response, connection)) => answer(inner, call, response, connection, slot).await,
        Err(ExchangeError::NotSent) => Err(Failure::not_sent(RefusalReason::BackendDown)),
        Err(ExchangeError::Broken) => Err(Failure::may_have_run(RefusalReason::BrokenExchange)),
        Err(ExchangeError::BadAnswer) => Err(Failure::may_have_run(RefusalReason::BadAnswer)),
        Err(ExchangeError::TimedOut) => {
            slot.end(SlotEnd::Measured);
            Err(Failure::may_have_run(RefusalReason::DeadlinePassed))
        }
    }
}

async fn answer(
    inner: &Arc<Inner>,
    call: &ForwardedCall,
    response: Response<Incoming>,
    connection: ClientConnection,
    slot: Slot,
) -> Result<Answer, Failure> {
    let (mut parts, incoming) = response.into_parts();
    if is_shed(&parts) {
        // The connection is closed: a refusal names no call, so this one, written again on the
        // same connection, would be taken for that of the next call.
        return Err(Failure::refused(RefusalReason::BackendShed));
    }
    if !is_self_delimiting(&parts.headers, &incoming) {
        return Err(Failure::may_have_run(RefusalReason::BadAnswer));
    }
    call_headers::remove_internal_headers(&mut parts.headers);
    let timeout =
        Box::pin(tokio::time::sleep_until(inner.clock.to_tokio_instant(call.deadline.at())));
    let pool = Arc::clone(&inner.backend_pool);
    let limit = AnswerLimit::Streamed;
    let mut body = AnswerBody::stream(parts.status, incoming, connection, pool, timeout, limit);
    body.watch(AnswerWatcher::Slot(slot));
    body.prefetch().await.map_err(Failure::may_have_run)?;
    Ok(Response::from_parts(parts, body))
}

/// Returns whether the backend server refused the call without running it.
fn is_shed(parts: &http::response::Parts) -> bool {
    parts.status == http::StatusCode::SERVICE_UNAVAILABLE
        && call_headers::parse(&parts.headers, &call_headers::VERDICT)
            == Ok(Some(Verdict::RefusedUnrun))
}

/// Returns whether the end of the answer is marked by a length or by chunks. If only the end of
/// the connection marks it, a truncated answer can't be told from a complete one.
fn is_self_delimiting(headers: &HeaderMap, incoming: &Incoming) -> bool {
    incoming.size_hint().exact().is_some() || headers.contains_key(http::header::TRANSFER_ENCODING)
}
