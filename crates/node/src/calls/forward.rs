//! The path of a call from the entry node to an endpoint.

use std::sync::Arc;

use almondsail_core::ids::NodeId;
use almondsail_core::traffic::{
    Balancer, Candidate, FailedAttempt, LoadReport, RetryDecision, RetryPolicy,
};
use almondsail_core::units::Instant;
use almondsail_core::{RefusalReason, Verdict};
use http::{HeaderMap, Response};

use crate::calls::answer_body::{Answer, AnswerBody};
use crate::calls::answer_watcher::AnswerWatcher;
use crate::calls::call_counters::CancelCount;
use crate::calls::call_headers as names;
use crate::calls::call_table::{CallTable, Target, VersionCells};
use crate::calls::call_timer::CallTimer;
use crate::calls::exchange::ExchangeError;
use crate::calls::failure::Failure;
use crate::calls::forwarded_call::ForwardedCall;
use crate::calls::in_flight::InFlight;
use crate::calls::inbound;
use crate::calls::traffic::Inner;

/// Sends `call` to an endpoint, and to others as long as the retry policy allows it.
pub(crate) async fn forward(
    inner: &Arc<Inner>,
    table: &CallTable,
    call: ForwardedCall,
    started: Instant,
) -> Result<Answer, Failure> {
    let Some(cells) = table.cells(&call.route, &call.target) else {
        return Err(Failure::unrun(RefusalReason::NoBackend));
    };
    let cancel = CancelCount::new(Some(&cells.entry));
    let result = attempt_all(inner, table, &call, cells).await;
    cancel.disarm();
    match result {
        Ok(mut answer) => {
            let timer = CallTimer::new(Arc::clone(&cells.entry), inner.clock, started);
            answer.body_mut().watch(AnswerWatcher::Count(timer));
            Ok(answer)
        }
        Err(failure) => {
            cells.entry.failed(failure.reason);
            Err(failure)
        }
    }
}

async fn attempt_all(
    inner: &Arc<Inner>,
    table: &CallTable,
    call: &ForwardedCall,
    cells: &VersionCells,
) -> Result<Answer, Failure> {
    inner.retries.count_call();
    let mut tried: Vec<NodeId> = Vec::new();
    let mut last: Option<Failure> = None;
    loop {
        let Some(target) = choose(inner, table, call, &tried) else {
            return Err(last.unwrap_or(Failure::unrun(RefusalReason::NoBackend)));
        };
        tried.push(target.endpoint.node.clone());
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
            attempts: tried.len() as u8,
            left: call.deadline.left(now),
        };
        match RetryPolicy.decide(failed, &inner.retries, now) {
            RetryDecision::Retry(reason) => cells.entry.retried(reason),
            RetryDecision::Report => return Err(failure),
            RetryDecision::BudgetUsedUp => {
                return Err(Failure::new(failure.verdict, RefusalReason::RetryBudget));
            }
        }
        last = Some(failure);
    }
}

fn choose<'a>(
    inner: &Inner,
    table: &'a CallTable,
    call: &ForwardedCall,
    tried: &[NodeId],
) -> Option<&'a Target> {
    let targets = table.services.get(&call.service)?.versions.get(&call.target)?;
    let candidates: Vec<Candidate<'_>> = targets
        .iter()
        .map(|target| Candidate { endpoint: &target.endpoint, load: &target.load })
        .collect();
    let balancer = Balancer {
        data_centre: table.snapshot.data_centre.clone(),
        region: table.snapshot.region.clone(),
    };
    let chosen = balancer.choose(inner.clock.now(), &candidates, tried, &mut rand::rng())?;
    targets.get(chosen)
}

/// Asks the node that holds the call's key for the recorded answer.
async fn replay(
    inner: &Arc<Inner>,
    table: &CallTable,
    call: &ForwardedCall,
    holder: &NodeId,
) -> Option<Answer> {
    let target = table.target(&call.service, holder)?;
    let call = ForwardedCall { replay: true, ..call.clone() };
    attempt(inner, table, target, &call).await.ok()
}

async fn attempt(
    inner: &Arc<Inner>,
    table: &CallTable,
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
            note_failure(&in_flight, &failure);
            Err(failure)
        }
    }
}

fn note_failure(in_flight: &InFlight, failure: &Failure) {
    match (failure.verdict, failure.reason) {
        (_, RefusalReason::ConnectFailed | RefusalReason::BackendDown) => in_flight.unreachable(),
        (_, RefusalReason::RepeatInDoubt | RefusalReason::KeyRegistrarUnreachable) => {}
        (Verdict::MayHaveRun, _) => in_flight.failed(),
        (Verdict::NotSent | Verdict::RefusedUnrun, _) => in_flight.refused(),
    }
}

/// Sends `call` to another node.
async fn send(
    inner: &Arc<Inner>,
    target: &Target,
    call: &ForwardedCall,
) -> Result<Answer, Failure> {
    let until = inner.clock.timer(call.deadline.at());
    let request = || {
        let now = inner.clock.now();
        call.to_request(&inner.token, call.deadline.for_next_hop(now).left(now))
    };
    let sent = target.pool.send(request, until).await;
    let (response, exchange) = sent.map_err(|error| failure(&error))?;
    let timeout = Box::pin(tokio::time::sleep_until(until));
    let (mut parts, incoming) = response.into_parts();
    let Ok(Some(load)) = names::parse::<LoadReport>(&parts.headers, &names::LOAD) else {
        return Err(Failure::may_have_run(RefusalReason::BadAnswer));
    };
    target.load.report(inner.clock.now(), load);
    let failure = parse_failure(&parts.headers)
        .map_err(|_| Failure::may_have_run(RefusalReason::BadAnswer))?;
    let pool = Arc::clone(&target.pool);
    let mut body = AnswerBody::stream(parts.status, incoming, exchange, pool, timeout);
    if let Some(failure) = failure {
        body.discard().await;
        return Err(failure);
    }
    names::remove_own(&mut parts.headers);
    body.prefetch().await.map_err(Failure::may_have_run)?;
    Ok(Response::from_parts(parts, body))
}

const fn failure(error: &ExchangeError) -> Failure {
    match error {
        ExchangeError::NotSent => Failure::not_sent(RefusalReason::ConnectFailed),
        ExchangeError::Broken => Failure::may_have_run(RefusalReason::BrokenExchange),
        ExchangeError::BadAnswer => Failure::may_have_run(RefusalReason::BadAnswer),
        ExchangeError::TimedOut => Failure::may_have_run(RefusalReason::DeadlinePassed),
    }
}

/// The failure that a node reports in the headers of its answer.
fn parse_failure(headers: &HeaderMap) -> Result<Option<Failure>, names::BadHeader> {
    let Some(reason) = names::parse(headers, &names::REASON)? else { return Ok(None) };
    let verdict = names::parse(headers, &names::VERDICT)?.ok_or(names::BadHeader)?;
    let holder = names::parse(headers, &names::HOLDER)?;
    Ok(Some(Failure { verdict, reason, holder }))
}
