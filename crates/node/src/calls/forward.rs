//! Forwards calls from the entry node to endpoints, with retries.

use std::sync::Arc;

use almondsail_core::ids::NodeId;
use almondsail_core::traffic::{
    Balancer, Candidate, FailedAttempt, LoadReport, RetryDecision, RetryPolicy,
};
use almondsail_core::units::Instant;
use almondsail_core::{RefusalReason, Verdict};
use http::{HeaderMap, Response};

use crate::calls::answer_body::{Answer, AnswerBody};
use crate::calls::answer_limit::AnswerLimit;
use crate::calls::answer_watcher::AnswerWatcher;
use crate::calls::call_counters::CancellationGuard;
use crate::calls::call_headers;
use crate::calls::call_timer::CallTimer;
use crate::calls::client_connection::ExchangeError;
use crate::calls::failure::Failure;
use crate::calls::forwarded_call::ForwardedCall;
use crate::calls::in_flight::InFlight;
use crate::calls::inbound;
use crate::calls::routing_table::{RoutingTable, Target, VersionCounters};
use crate::calls::traffic::Inner;

/// Sends `call` to an endpoint, and after failures to others while the retry policy allows it.
pub(crate) async fn forward(
    inner: &Arc<Inner>,
    table: &RoutingTable,
    call: ForwardedCall,
    started: Instant,
) -> Result<Answer, Failure> {
    let Some(counters) = table.counters(&call.route, &call.version) else {
        return Err(Failure::refused(RefusalReason::NoBackend));
    };
    let cancel = CancellationGuard::new(Some(&counters.entry));
    let result = attempt_all(inner, table, &call, counters).await;
    cancel.disarm();
    match result {
        Ok(mut answer) => {
            let timer = CallTimer::new(Arc::clone(&counters.entry), inner.clock, started);
            answer.body_mut().watch(AnswerWatcher::Count(timer));
            Ok(answer)
        }
        Err(failure) => {
            counters.entry.count_failure(failure.reason);
            Err(failure)
        }
    }
}

async fn attempt_all(
    inner: &Arc<Inner>,
    table: &RoutingTable,
    call: &ForwardedCall,
    counters: &VersionCounters,
) -> Result<Answer, Failure> {
    inner.retry_budget.count_call();
    let mut tried_nodes: Vec<NodeId> = Vec::new();
    let mut last: Option<Failure> = None;
    loop {
        let Some(target) = choose_target(inner, table, call, &tried_nodes) else {
            return Err(last.unwrap_or(Failure::refused(RefusalReason::NoBackend)));
        };
        tried_nodes.push(target.endpoint.node.clone());
        let failure = match attempt(inner, table, target, call).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        if let Some(holder) = &failure.holder {
            return replay(inner, table, call, holder).await.ok_or(failure);
        }
        let now = inner.clock.now();
        let failed = FailedAttempt {
            verdict: failure.verdict,
            reason: failure.reason,
            idempotent: call.idempotent,
            attempts: tried_nodes.len() as u8,
            remaining: call.deadline.remaining(now),
        };
        match RetryPolicy.decide(failed, &inner.retry_budget, now) {
            RetryDecision::Retry(reason) => counters.entry.count_retry(reason),
            RetryDecision::Report => return Err(failure),
            RetryDecision::BudgetUsedUp => {
                return Err(Failure::new(failure.verdict, RefusalReason::RetryBudget));
            }
        }
        last = Some(failure);
    }
}

fn choose_target<'a>(
    inner: &Inner,
    table: &'a RoutingTable,
    call: &ForwardedCall,
    tried_nodes: &[NodeId],
) -> Option<&'a Target> {
    let targets = table.services.get(&call.service)?.versions.get(&call.version)?;
    let candidates: Vec<Candidate<'_>> = targets
        .iter()
        .map(|target| Candidate { endpoint: &target.endpoint, load: &target.load })
        .collect();
    let balancer = Balancer {
        data_centre: table.snapshot.data_centre.clone(),
        region: table.snapshot.region.clone(),
    };
    let chosen = balancer.choose(inner.clock.now(), &candidates, tried_nodes, &mut rand::rng())?;
    targets.get(chosen)
}

/// Asks `holder`, which ran a call with the same idempotency key, for the recorded answer.
async fn replay(
    inner: &Arc<Inner>,
    table: &RoutingTable,
    call: &ForwardedCall,
    holder: &NodeId,
) -> Option<Answer> {
    let target = table.target(&call.service, holder)?;
    let call = ForwardedCall { replay: true, ..call.clone() };
    attempt(inner, table, target, &call).await.ok()
}

async fn attempt(
    inner: &Arc<Inner>,
    table: &RoutingTable,
    target: &Target,
    call: &ForwardedCall,
) -> Result<Answer, Failure> {
    let in_flight = InFlight::start(Arc::clone(&target.load), inner.clock);
    let result = if target.endpoint.node == table.snapshot.node {
        let now = inner.clock.now();
        let call = ForwardedCall { deadline: call.deadline.for_next_hop(now), ..call.clone() };
        inbound::run(inner, call).await
    } else {
        send(inner, target, call).await
    };
    match result {
        Ok(mut answer) => {
            answer.body_mut().watch(AnswerWatcher::Load(in_flight));
            Ok(answer)
        }
        Err(failure) => {
            record_failure(&in_flight, &failure);
            Err(failure)
        }
    }
}

fn record_failure(in_flight: &InFlight, failure: &Failure) {
    match (failure.verdict, failure.reason) {
        (_, RefusalReason::ConnectFailed | RefusalReason::BackendDown) => {
            in_flight.record_unreachable()
        }
        (_, RefusalReason::RepeatInDoubt | RefusalReason::KeyRegistrarUnreachable) => {}
        (Verdict::MayHaveRun, _) => in_flight.record_failure(),
        (Verdict::NotSent | Verdict::RefusedUnrun, _) => in_flight.record_refusal(),
    }
}

/// Sends `call` to another node and reads the head of the answer.
async fn send(
    inner: &Arc<Inner>,
    target: &Target,
    call: &ForwardedCall,
) -> Result<Answer, Failure> {
    let until = inner.clock.to_tokio_instant(call.deadline.at());
    let request = || {
        let now = inner.clock.now();
        call.to_request(&inner.token, call.deadline.for_next_hop(now).remaining(now))
    };
    let sent = target.pool.send(request, until).await;
    let (response, connection) = sent.map_err(|error| to_failure(&error))?;
    let timeout = Box::pin(tokio::time::sleep_until(until));
    let (mut parts, incoming) = response.into_parts();
    let Ok(Some(load)) = call_headers::parse::<LoadReport>(&parts.headers, &call_headers::LOAD)
    else {
        return Err(Failure::may_have_run(RefusalReason::BadAnswer));
    };
    target.load.record_report(inner.clock.now(), load);
    let failure = parse_failure(&parts.headers)
        .map_err(|_| Failure::may_have_run(RefusalReason::BadAnswer))?;
    let pool = Arc::clone(&target.pool);
    let limit = AnswerLimit::Streamed;
    let mut body = AnswerBody::stream(parts.status, incoming, connection, pool, timeout, limit);
    if let Some(failure) = failure {
        body.discard().await;
        return Err(failure);
    }
    call_headers::remove_internal_headers(&mut parts.headers);
    body.prefetch().await.map_err(Failure::may_have_run)?;
    Ok(Response::from_parts(parts, body))
}

const fn to_failure(error: &ExchangeError) -> Failure {
    match error {
        ExchangeError::NotSent => Failure::not_sent(RefusalReason::ConnectFailed),
        ExchangeError::Broken => Failure::may_have_run(RefusalReason::BrokenExchange),
        ExchangeError::BadAnswer => Failure::may_have_run(RefusalReason::BadAnswer),
        ExchangeError::TimedOut => Failure::may_have_run(RefusalReason::DeadlinePassed),
    }
}

/// Parses the failure that another node reports in the headers of its answer, if any.
fn parse_failure(headers: &HeaderMap) -> Result<Option<Failure>, call_headers::BadHeader> {
    let Some(reason) = call_headers::parse(headers, &call_headers::REASON)? else {
        return Ok(None);
    };
    let verdict =
        call_headers::parse(headers, &call_headers::VERDICT)?.ok_or(call_headers::BadHeader)?;
    let holder = call_headers::parse(headers, &call_headers::HOLDER)?;
    Ok(Some(Failure { verdict, reason, holder }))
}
