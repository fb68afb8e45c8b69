//! Routes the requests of callers to endpoints, with retries and hedging.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use almondsail_core::fleet::{
    Attempts, CallRank, CallRecord, CallValue, CallerIdentity, CallerPipeline, Endpoint,
    EndpointChoice, FleetLogEvent, FleetView, Hedge, LoadBalancerContext, MeshConfig, MeshRoute,
    NextAttempt, QueuePolicy,
};
use almondsail_core::ids::ServiceName;
use almondsail_core::units::{ByteCount, Instant, Micros};
use almondsail_core::{RefusalReason, Verdict};
use almondsail_platform::calls as platform_calls;
use bytes::Bytes;
use http::header;
use http::{Request, Response};
use rand::Rng as _;

use crate::calls::call_headers;
use crate::fleet::call_failure::{self, CallFailure};
use crate::fleet::caller_result::{CallerResult, NO_ENDPOINT_RETRY_AFTER};
use crate::fleet::forwarded_call::ForwardedCall;
use crate::fleet::http1::{Pipelined, RefusedHead};
use crate::fleet::quota_token::QuotaToken;
use crate::fleet::traffic::FleetTraffic;
use crate::fleet::{endpoint_client, failure_response, inbound};

/// Time before the deadline after which a call is not retried, so that the verdict still reaches
/// the caller in time.
const DEADLINE_MARGIN: Micros = Micros::new(8_000);

/// Retry delay for requests that a newer configuration may have a route for: about the time in which
/// the node gets it.
const CONFIG_RETRY_AFTER: Micros = Micros::new(300_000);

/// Retry delay for requests that a partial configuration does not cover: the operator has to change
/// it.
const PARTIAL_CONFIG_RETRY_AFTER: Micros = Micros::new(2_000_000);

/// Pipelining state of one connection, shared by the handlers of its requests.
pub(crate) type SharedPipeline = Arc<Mutex<CallerPipeline>>;

/// Answers a caller's request; `pipeline` belongs to the connection on which it arrived.
pub(crate) async fn answer(
    traffic: Arc<FleetTraffic>,
    pipeline: SharedPipeline,
    request: Request<Bytes>,
) -> Response<Bytes> {
    let id = platform_calls::attempt_id(request.headers()).cloned();
    let started = traffic.clock.now();
    let mut result = CallerResult::new();
    tokio::select! {
        biased;
        () = route_request(&traffic, &pipeline, started, request, &mut result) => {}
        () = traffic.wait_for_calls_end() => result.abort(),
    }
    let took = traffic.clock.now().since(started);
    traffic.metrics.record_result(&result, took);
    let outcome = call_failure::outcome(result.answer.as_ref());
    traffic.log.write_with(outcome.class(), || {
        FleetLogEvent::Call(CallRecord {
            id: id.as_ref().map(platform_calls::attempt_id_text),
            route: result.route.as_ref().map(|route| route.name.clone()),
            service: result.service.clone(),
            config: result.config,
            budget_left: result
                .service
                .as_ref()
                .map_or(0, |s| traffic.retry_budget().retries_left(s)),
            endpoints_tried: result.endpoints_tried.clone(),
            took,
            outcome,
        })
    });
    match result.answer {
        Ok(response) => response,
        Err(failure) => failure_response::unanswered(&failure, id.as_ref()),
    }
}

/// Routes `request` and sends it to endpoints. `result` names them also if the future is dropped.
async fn route_request(
    traffic: &Arc<FleetTraffic>,
    pipeline: &SharedPipeline,
    started: Instant,
    request: Request<Bytes>,
    result: &mut CallerResult,
) {
    if let Some(RefusedHead(reason)) = request.extensions().get() {
        result.answer = Err(refuse(*reason));
        return;
    }
    let view = traffic.view.load_full();
    let Some(config) = &view.config else { return };
    result.config = config.version;
    let Some(route) = route_of(config, &request) else {
        result.answer = Err(refuse(unknown(RefusalReason::UnknownRoute, &view, config)));
        return;
    };
    let sent = platform_calls::sent_credential(request.headers());
    let identity = CallerIdentity::of(config, route, sent);
    if identity == CallerIdentity::Unknown {
        result.answer = Err(refuse(unknown(RefusalReason::UnknownCredential, &view, config)));
        return;
    }
    if !config.serves(route) {
        result.answer = Err(refuse(RefusalReason::PartialConfig));
        return;
    }
    let draw = rand::rng().random_range(0..route.weight());
    result.route = Some(Arc::clone(route));
    result.service = Some(route.destination(draw).clone());
    let is_pipelined = request.extensions().get::<Pipelined>().is_some();
    let target = lock(pipeline).target(started, route.target_latency, is_pipelined);
    let mut call =
        forwarded_call(traffic, started, route, route.destination(draw), &identity, request);
    call.answer_by = started + subtract_travel_time(target);
    let token = match take_token(traffic, &identity, &call).await {
        Ok(token) => token,
        Err(failure) => {
            result.answer = Err(failure);
            return;
        }
    };
    result.answer = send_with_retries(traffic, route, &mut call, &mut result.endpoints_tried).await;
    // An earlier attempt may have arrived although the last one did not.
    let has_not_arrived = result.endpoints_tried.len() <= 1
        && result.answer.as_ref().is_err_and(|failure| !failure.has_arrived);
    if let Some(token) = token
        && has_not_arrived
    {
        token.give_back();
    }
}

/// Takes a token for a call of a team with a quota. Returns `None` for other calls.
async fn take_token(
    traffic: &FleetTraffic,
    identity: &CallerIdentity,
    call: &ForwardedCall,
) -> Result<Option<QuotaToken>, CallFailure> {
    let Some(team) = identity.team().filter(|team| team.quota.is_some()) else { return Ok(None) };
    let time_left = call.answer_by.min(call.deadline).since(traffic.clock.now());
    traffic.quota.acquire(team, time_left).await.map(Some)
}

/// Returns why a request with `head` is refused whatever its body is: for its credential.
pub(crate) fn check_head(view: &FleetView, head: &Request<()>) -> Option<RefusalReason> {
    let config = view.config.as_ref()?;
    let route = route_of(config, head)?;
    let sent = platform_calls::sent_credential(head.headers());
    let is_unknown = CallerIdentity::of(config, route, sent) == CallerIdentity::Unknown;
    is_unknown.then(|| unknown(RefusalReason::UnknownCredential, view, config))
}

fn route_of<'a, T>(config: &'a MeshConfig, request: &Request<T>) -> Option<&'a Arc<MeshRoute>> {
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    config.route(host.unwrap_or_default(), request.uri().path())
}

/// Returns the reason for the refusal of a request whose route or credential the configuration
/// lacks, as `reason` says. A node that waits for a newer configuration, or reads only part of the
/// one it has, can't say that there is none.
const fn unknown(reason: RefusalReason, view: &FleetView, config: &MeshConfig) -> RefusalReason {
    match (view.is_outdated, config.is_partial) {
        (true, _) => RefusalReason::OutdatedConfig,
        (false, true) => RefusalReason::PartialConfig,
        (false, false) => reason,
    }
}

const fn refuse(reason: RefusalReason) -> CallFailure {
    let retry_after = match reason {
        RefusalReason::OutdatedConfig => CONFIG_RETRY_AFTER,
        RefusalReason::PartialConfig => PARTIAL_CONFIG_RETRY_AFTER,
        _ => Micros::new(0),
    };
    CallFailure::refused(reason, retry_after)
}

fn lock(pipeline: &SharedPipeline) -> MutexGuard<'_, CallerPipeline> {
    // A poisoned state is still valid: no update of it can panic halfway.
    pipeline.lock().unwrap_or_else(PoisonError::into_inner)
}

fn forwarded_call(
    traffic: &FleetTraffic,
    started: Instant,
    route: &MeshRoute,
    service: &ServiceName,
    identity: &CallerIdentity,
    request: Request<Bytes>,
) -> ForwardedCall {
    let (parts, body) = request.into_parts();
    let mut headers = parts.headers;
    let requested = platform_calls::caller_timeout(&headers);
    let limit = requested.map_or(route.timeout, |requested| requested.min(route.timeout));
    call_headers::remove_connection_headers(&mut headers);
    let team = identity.team();
    if *identity != CallerIdentity::WithoutTeams {
        platform_calls::replace_credential(&mut headers, team.map(|team| &team.name));
    }
    ForwardedCall {
        service: service.clone(),
        backend: "none".parse().expect("a valid name"),
        route: route.name.clone(),
        rank: CallRank { team: team.map_or(0, |team| team.priority), route: route.priority },
        team: team.map(|team| team.name.clone()),
        deadline: traffic.limit_deadline(started + limit),
        target: started + subtract_travel_time(route.target_latency.into()),
        answer_by: started + subtract_travel_time(route.target_latency.into()),
        target_latency: route.target_latency,
        caller: traffic.service.clone(),
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    }
}

/// Subtracts the network time to the caller from a target latency: a tenth of the target, up to
/// `MAX_TRAVEL_TIME`. Callers are up to 8 ms away; routes with a short target are called by backend
/// servers, which are near.
fn subtract_travel_time(target: Micros) -> Micros {
    const MAX_TRAVEL_TIME: Micros = Micros::new(18_000);
    let travel_time = Micros::new(target.get() / 10).min(MAX_TRAVEL_TIME);
    Micros::new(target.get() - travel_time.get())
}

/// Sends `call` to one endpoint after another until it has an answer or may not be retried.
async fn send_with_retries(
    traffic: &Arc<FleetTraffic>,
    route: &MeshRoute,
    call: &mut ForwardedCall,
    endpoints_tried: &mut Vec<EndpointChoice>,
) -> Result<Response<Bytes>, CallFailure> {
    let mut attempts = Attempts::new(route.idempotent, route.max_attempts);
    let mut last: Option<Result<Response<Bytes>, CallFailure>> = None;
    loop {
        let choice = match choose_endpoint(traffic, route, call, &attempts) {
            Ok(choice) => choice,
            Err(none) => {
                let failed = last.unwrap_or(Err(none));
                return failed.map_err(|failure| final_failure(failure, &attempts));
            }
        };
        call.backend = choice.endpoint.backend.clone();
        attempts.tried_nodes.push(choice.endpoint.node.clone());
        endpoints_tried.push(choice.clone());
        let result = if route.idempotent && !choice.is_judged {
            send_hedged(traffic, route, &choice, call, &mut attempts, endpoints_tried).await
        } else {
            send_attempt(traffic, &choice.endpoint, call).await
        };
        let failed = match &result {
            Ok(response) if !response.status().is_server_error() || !route.idempotent => {
                if attempts.is_first_arrival() {
                    traffic.retry_budget().first_arrival(traffic.clock.now(), &call.service);
                }
                return result;
            }
            Ok(_) => CallFailure::may_have_run(RefusalReason::BadAnswer),
            Err(failure) => *failure,
        };
        let now = traffic.clock.now();
        if failed.has_arrived && attempts.is_first_arrival() {
            traffic.retry_budget().first_arrival(now, &call.service);
        }
        let is_too_late = call.deadline <= now + DEADLINE_MARGIN
            || !is_retry_worthwhile(traffic, route, call, &attempts);
        let next = attempts.next_after_failure(
            now,
            failed.as_failed_attempt(),
            &call.service,
            &mut traffic.retry_budget(),
        );
        match next {
            NextAttempt::Retry(reason) if !is_too_late => traffic.metrics.count_retry(reason),
            _ => return result.map_err(|failure| final_failure(failure, &attempts)),
        }
        last = Some(result);
    }
}

/// Returns whether a retry is worth its place at the endpoint that would be chosen. Where load is
/// not shed by value, each retry is.
fn is_retry_worthwhile(
    traffic: &FleetTraffic,
    route: &MeshRoute,
    call: &ForwardedCall,
    attempts: &Attempts,
) -> bool {
    let is_worth = |choice: EndpointChoice| is_worth_attempt(traffic, call, &choice);
    !sheds_by_value(traffic) || choose_endpoint(traffic, route, call, attempts).is_ok_and(is_worth)
}

/// Returns whether `call` is worth its place at the endpoint of `choice`.
fn is_worth_attempt(traffic: &FleetTraffic, call: &ForwardedCall, choice: &EndpointChoice) -> bool {
    let now = traffic.clock.now();
    CallValue::new(now, choice.expected, call.answer_by, call.deadline).is_worth_attempt()
}

fn sheds_by_value(traffic: &FleetTraffic) -> bool {
    traffic.queue_policy(&traffic.view.load()) != QueuePolicy::Target
}

/// Sends an idempotent call to the endpoint of `choice`, and to a second one if the answer is slow.
/// Returns the first successful answer.
async fn send_hedged(
    traffic: &Arc<FleetTraffic>,
    route: &MeshRoute,
    choice: &EndpointChoice,
    call: &ForwardedCall,
    attempts: &mut Attempts,
    endpoints_tried: &mut Vec<EndpointChoice>,
) -> Result<Response<Bytes>, CallFailure> {
    let started = traffic.clock.now();
    let hedge = Hedge { expected: choice.expected, target_left: call.answer_by.since(started) };
    let mut first = pin!(send_attempt(traffic, &choice.endpoint, call));
    let mut waited = hedge.delay();
    let hedge_choice = loop {
        let until = traffic.clock.to_tokio_instant(started + waited);
        if let Ok(result) = tokio::time::timeout_at(until, first.as_mut()).await {
            return result;
        }
        if let Some(candidate) = hedge_endpoint(traffic, route, hedge, waited, call, attempts) {
            break candidate;
        }
        // A hedge is worth it again once the call is presumed lost.
        let presumed_lost = hedge.presumed_lost_after();
        if waited >= presumed_lost {
            return first.await;
        }
        waited = presumed_lost;
    };
    traffic.metrics.count_hedge();
    attempts.tried_nodes.push(hedge_choice.endpoint.node.clone());
    endpoints_tried.push(hedge_choice.clone());
    let hedge_call =
        ForwardedCall { backend: hedge_choice.endpoint.backend.clone(), ..call.clone() };
    let mut second = pin!(send_attempt(traffic, &hedge_choice.endpoint, &hedge_call));
    let (failed, last) = tokio::select! {
        result = first.as_mut() => match failed_verdict(&result) {
            Some(verdict) => (verdict, second.await),
            None => return result,
        },
        result = second.as_mut() => match failed_verdict(&result) {
            Some(verdict) => (verdict, first.await),
            None => return result,
        },
    };
    attempts.record_failure_beside(failed);
    last
}

/// Chooses a second endpoint for `call`. Returns `None` if a hedge is unlikely to help or the retry
/// budget does not allow it.
fn hedge_endpoint(
    traffic: &FleetTraffic,
    route: &MeshRoute,
    hedge: Hedge,
    waited: Micros,
    call: &ForwardedCall,
    attempts: &mut Attempts,
) -> Option<EndpointChoice> {
    let choice = choose_endpoint(traffic, route, call, attempts).ok()?;
    let is_worthwhile = !choice.endpoint.is_silent
        && hedge.is_worthwhile(waited, choice.expected, choice.calls_ahead, choice.endpoint.slots)
        && (!sheds_by_value(traffic) || is_worth_attempt(traffic, call, &choice));
    let now = traffic.clock.now();
    let may = is_worthwhile && attempts.may_hedge(now, &call.service, &mut traffic.retry_budget());
    may.then_some(choice)
}

/// Returns the verdict on an attempt that failed; `None` if it succeeded.
fn failed_verdict(result: &Result<Response<Bytes>, CallFailure>) -> Option<Verdict> {
    match result {
        Ok(response) if response.status().is_server_error() => Some(Verdict::MayHaveRun),
        Ok(_) => None,
        Err(failure) => Some(failure.verdict),
    }
}

/// Combines the failure of the last attempt with the verdict over all attempts.
fn final_failure(last: CallFailure, attempts: &Attempts) -> CallFailure {
    CallFailure { verdict: attempts.verdict(last.verdict), ..last }
}

/// Chooses the endpoint for the next attempt of `call`. Fails with the reason for which no endpoint
/// may take it.
fn choose_endpoint(
    traffic: &FleetTraffic,
    route: &MeshRoute,
    call: &ForwardedCall,
    attempts: &Attempts,
) -> Result<EndpointChoice, CallFailure> {
    let now = traffic.clock.now();
    let view = traffic.view.load();
    let no_backend = CallFailure::refused(RefusalReason::NoBackend, NO_ENDPOINT_RETRY_AFTER);
    let endpoints = view.services.get(&call.service).ok_or(no_backend)?;
    let mut load_balancer = traffic.load_balancer();
    let is_first = attempts.tried_nodes.is_empty();
    let to_new = match is_first {
        true => load_balancer.sends_to_new(now, &call.service, endpoints),
        false => endpoints.is_full_shift(now),
    };
    let deadline_left = call.deadline.since(now);
    let context = LoadBalancerContext {
        route,
        target_left: call.answer_by.since(now),
        deadline_left,
        to_new,
        tried_nodes: &attempts.tried_nodes,
    };
    let Some(endpoint) = load_balancer.choose(now, &context, endpoints, &mut rand::rng()) else {
        let refusal = load_balancer.refusal(now, &context, endpoints);
        let refused = |(reason, retry_after)| CallFailure::refused(reason, retry_after);
        return Err(refusal.map_or(no_backend, refused));
    };
    let (expected, calls_ahead) = load_balancer.estimate(now, route, endpoint);
    let load_age = load_balancer.report_age(now, &endpoint.node);
    let is_judged = endpoints.is_judged(endpoint);
    Ok(EndpointChoice {
        endpoint: endpoint.clone(),
        calls_ahead,
        load_age,
        expected,
        deadline_left,
        is_judged,
    })
}

async fn send_attempt(
    traffic: &Arc<FleetTraffic>,
    target: &Endpoint,
    call: &ForwardedCall,
) -> Result<Response<Bytes>, CallFailure> {
    let sent = InFlightCall::new(traffic, target);
    let result = if target.node == traffic.view.load().node {
        let (result, load) = inbound::serve(traffic, call).await;
        let took = load.held.unwrap_or_default();
        traffic.record_load(&target.node, &call.route, load, took);
        result
    } else {
        endpoint_client::send(traffic, &target.node, target.address, call).await
    };
    drop(sent);
    let now = traffic.clock.now();
    let mut load_balancer = traffic.load_balancer();
    if let Ok(response) = &result {
        let size = call.body.len() + response.body().len();
        load_balancer.record_size(&call.route, ByteCount::new(size as u64));
    }
    let load = load_balancer.load(&target.node);
    match &result {
        Ok(response) if response.status().is_server_error() => load.record_failure(now),
        Ok(_) => load.record_answer(),
        Err(failure) => match failure.verdict {
            Verdict::NotSent => load.record_unreachable(now),
            Verdict::RefusedUnrun => {
                load.record_refusal(now);
                if failure.reason == RefusalReason::ColdServer {
                    load.record_cold_refusal(now, failure.retry_after);
                }
            }
            Verdict::MayHaveRun => load.record_failure(now),
        },
    }
    result
}

/// Counts a call as running at an endpoint until it is dropped.
struct InFlightCall<'a> {
    traffic: &'a FleetTraffic,
    endpoint: &'a Endpoint,
}

impl<'a> InFlightCall<'a> {
    fn new(traffic: &'a FleetTraffic, endpoint: &'a Endpoint) -> Self {
        traffic.load_balancer().load(&endpoint.node).record_sent();
        Self { traffic, endpoint }
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        self.traffic.load_balancer().load(&self.endpoint.node).record_end();
    }
}
