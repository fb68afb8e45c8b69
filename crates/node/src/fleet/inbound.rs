//! Runs calls at the backend server beside this node.

use std::sync::Arc;

use almondsail_core::fleet::{
    CallRequirements, FleetEvent, FleetLogEvent, FleetView, InboundCallRecord, RouteKey,
};
use almondsail_core::units::{Instant, Micros};
use almondsail_core::{RefusalReason, Verdict};
use almondsail_platform::calls::{self as platform_calls, ResponseKind};
use bytes::Bytes;
use http::Response;
use http::header::HeaderMap;

use crate::calls::call_headers;
use crate::calls::client_connection::ExchangeError;
use crate::fleet::call_failure::{self, CallFailure, FAILURE_HEADER};
use crate::fleet::forwarded_call::ForwardedCall;
use crate::fleet::queue_slot::QueueSlot;
use crate::fleet::reported_load::ReportedLoad;
use crate::fleet::slot_queue::QueueLoad;
use crate::fleet::traffic::{FleetTraffic, is_large_body};
use crate::fleet::whole_answer;

/// Retry delay for refusals for which no wait can be estimated.
const DEFAULT_RETRY_AFTER: Micros = Micros::new(200_000);
/// Retry delay for calls to a data centre that is evacuated: about the time in which a short
/// evacuation ends.
const EVACUATED_RETRY_AFTER: Micros = Micros::new(1_000_000);

/// Runs `call` at the backend server beside this node and logs its result. Returns the result, and
/// the load to report to the node that forwarded the call.
///
/// Only this node sends calls to the server, so its own state decides which server has the
/// address, whether it takes calls, and how many run.
pub(crate) async fn serve(
    traffic: &Arc<FleetTraffic>,
    call: &ForwardedCall,
) -> (Result<Response<Bytes>, CallFailure>, ReportedLoad) {
    let started = traffic.clock.now();
    let requirements = call.requirements();
    let calls_ahead_at_start = traffic.queue.load(&requirements).calls_ahead;
    let ran = tokio::select! {
        biased;
        ran = run(traffic, call, requirements.clone()) => ran,
        () = traffic.wait_for_calls_end() => Err(CallFailure::may_have_run(RefusalReason::Leaving)),
    };
    let (result, run_time) = match ran {
        Ok((response, took)) => (Ok(response), Some(took)),
        Err(failure) => (Err(failure), None),
    };
    if let Err(failure) = &result
        && failure.verdict == Verdict::RefusedUnrun
        && !failure.has_arrived
    {
        traffic.refusals.count(failure.reason, &requirements);
    }
    log_call(traffic, call, started, calls_ahead_at_start, result.as_ref());
    let QueueLoad { calls_ahead, mean_time, service_time } = traffic.queue.load(&requirements);
    let held = Some(traffic.clock.now().since(started));
    (result, ReportedLoad { calls_ahead, mean_time, run_time, held, service_time })
}

/// Queues `call` for a slot and runs it. Returns the answer and the run time.
async fn run(
    traffic: &Arc<FleetTraffic>,
    call: &ForwardedCall,
    requirements: CallRequirements,
) -> Result<(Response<Bytes>, Micros), CallFailure> {
    check_backend(&traffic.view.load(), traffic.clock.now(), call)?;
    let is_large = is_large_body(call.body.len());
    let slot = traffic.queue.acquire(requirements, is_large).await.map_err(with_evacuated_delay)?;
    // The backend server may have left or been replaced while the call waited.
    if let Err(failure) = check_backend(&traffic.view.load(), traffic.clock.now(), call) {
        slot.release();
        return Err(failure);
    }
    let result = exchange(traffic, call, slot).await;
    let view = traffic.view.load();
    if view.wants_evidence {
        let is_cold = view.backend.as_ref().is_some_and(|backend| backend.is_cold);
        record_evidence(traffic, call, is_cold, &result);
    }
    drop(view);
    result
}

/// Checks at `now` that the node is not leaving, that its backend server is the one that `call`
/// asks for, and that its data centre is not evacuated.
fn check_backend(view: &FleetView, now: Instant, call: &ForwardedCall) -> Result<(), CallFailure> {
    let refuse = |reason| Err(CallFailure::refused(reason, DEFAULT_RETRY_AFTER));
    if view.is_leaving {
        return refuse(RefusalReason::Leaving);
    }
    let Some(backend) = &view.backend else { return refuse(RefusalReason::BackendDown) };
    if backend.id != call.backend || backend.service != call.service {
        return refuse(RefusalReason::BackendDown);
    }
    if view.ramp.is_closed(now) {
        return refuse(RefusalReason::Evacuated).map_err(with_evacuated_delay);
    }
    Ok(())
}

/// Sets the retry delay of a call that was refused because of an evacuation.
fn with_evacuated_delay(failure: CallFailure) -> CallFailure {
    match failure.reason {
        RefusalReason::Evacuated => CallFailure { retry_after: EVACUATED_RETRY_AFTER, ..failure },
        _ => failure,
    }
}

async fn exchange(
    traffic: &Arc<FleetTraffic>,
    call: &ForwardedCall,
    slot: QueueSlot,
) -> Result<(Response<Bytes>, Micros), CallFailure> {
    let clock = traffic.clock;
    let until = clock.to_tokio_instant(call.deadline);
    let pool = traffic.backend_pool(call.body.len());
    let request = || {
        slot.record_sent();
        call.backend_request(clock.now())
    };
    let sent = tokio::select! {
        biased;
        sent = pool.send(request, until) => sent,
        // Dropping the exchange closes its connection.
        () = wait_until_movable(traffic, call, &slot) => {
            return Err(CallFailure::may_have_run(RefusalReason::BrokenExchange));
        }
    };
    let has_lost = pool.take_lost();
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(error) => {
            if matches!(error, ExchangeError::NotSent | ExchangeError::Broken) {
                slot.release();
            }
            if error.ends_connection() && clock.now() < call.deadline {
                traffic.doubt_backend();
            }
            return Err(CallFailure::from_exchange(&error, RefusalReason::BackendDown));
        }
    };
    if has_lost {
        traffic.doubt_backend();
    }
    let (status, headers) = (response.status(), response.headers());
    let kind = platform_calls::classify_response(status, headers, call.attempt_id());
    if kind != ResponseKind::Unverified {
        record_server_load(traffic, &slot, headers, kind == ResponseKind::Ran);
    }
    let failure = match kind {
        ResponseKind::Ran => {
            let answer =
                whole_answer::read(response, connection, pool, until, &traffic.answer_budget).await;
            let Ok(mut response) = answer else {
                traffic.doubt_backend();
                return Err(CallFailure::may_have_run(RefusalReason::BrokenExchange));
            };
            call_headers::remove_connection_headers(response.headers_mut());
            // Only a node may report a failed call to another node.
            response.headers_mut().remove(FAILURE_HEADER);
            let took = clock.now().since(slot.started());
            slot.complete();
            return Ok((response, took));
        }
        ResponseKind::Refused => CallFailure::shed(traffic.expected_wait()),
        ResponseKind::WrongBackend => {
            let failure = CallFailure::refused(RefusalReason::BackendDown, DEFAULT_RETRY_AFTER);
            CallFailure { has_arrived: true, ..failure }
        }
        // The response to this call may still arrive, so the connection is not used again.
        ResponseKind::Unverified => {
            return Err(CallFailure::may_have_run(RefusalReason::BadAnswer));
        }
    };
    // Without an id, this refusal written again could not be told from that of a later call.
    if call.attempt_id().is_some() {
        whole_answer::discard(response, connection, pool, until);
    }
    Err(failure)
}

/// Waits until `call` is found hanging, if it may then be sent to another server. A call that may
/// not be repeated waits for its answer until its deadline.
async fn wait_until_movable(traffic: &FleetTraffic, call: &ForwardedCall, slot: &QueueSlot) {
    slot.wait_until_hanging().await;
    let view = traffic.view.load_full();
    let routes = view.config.iter().flat_map(|config| config.routes());
    let is_idempotent = routes.filter(|route| route.name == call.route).any(|r| r.idempotent);
    if !is_idempotent {
        std::future::pending().await
    }
}

/// Records the load that the backend server reports with the response to the call of `slot`.
fn record_server_load(
    traffic: &FleetTraffic,
    slot: &QueueSlot,
    headers: &HeaderMap,
    has_run: bool,
) {
    match platform_calls::server_load(headers) {
        Ok(load) => slot.record_response(load, has_run),
        Err(_) => {
            slot.record_unreadable_load();
            traffic.server_metrics.count_ignored_load();
        }
    }
}

/// Logs the result of `call`, which arrived at `started` with `calls_ahead` calls running or queued
/// ahead of it.
fn log_call(
    traffic: &FleetTraffic,
    call: &ForwardedCall,
    started: Instant,
    calls_ahead: u32,
    answer: Result<&Response<Bytes>, &CallFailure>,
) {
    let now = traffic.clock.now();
    let outcome = call_failure::outcome(answer);
    traffic.log.write_with(outcome.class(), || {
        FleetLogEvent::InboundCall(InboundCallRecord {
            id: call.attempt_id().map(platform_calls::attempt_id_text),
            route: call.route.clone(),
            service: call.service.clone(),
            backend: call.backend.clone(),
            calls_ahead,
            deadline_left: call.deadline.since(now),
            took: now.since(started),
            outcome,
        })
    });
}

/// Sends the result of `call` to the control loop as evidence about the backend server's version.
/// Answer times of a cold server are left out, since a server that has just started is slow
/// whatever its version.
fn record_evidence(
    traffic: &FleetTraffic,
    call: &ForwardedCall,
    is_cold: bool,
    result: &Result<(Response<Bytes>, Micros), CallFailure>,
) {
    let route = RouteKey::of(&call.route);
    match result {
        Ok((response, took)) if !response.status().is_server_error() => {
            if !is_cold {
                traffic.send_evidence(FleetEvent::Answered(route, *took));
            }
        }
        Ok(_) => traffic.send_evidence(FleetEvent::Failed(route)),
        Err(failure) if failure.has_arrived => traffic.send_evidence(FleetEvent::Failed(route)),
        Err(_) => {}
    }
}

impl FleetTraffic {
    /// Estimates how long a call that the backend server refused should wait before a retry.
    fn expected_wait(&self) -> Micros {
        self.queue.mean_time().unwrap_or(DEFAULT_RETRY_AFTER)
    }
}
