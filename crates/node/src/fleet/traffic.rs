//! State that the calls of a node share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{FleetEvent, FleetView, LoadBalancer, QueuePolicy, RetryShare};
use almondsail_core::ids::{NodeId, RouteName, ServiceName};
use almondsail_core::traffic::{AnswerBudget, BodyBudget};
use almondsail_core::units::{ByteCount, Instant, Micros};
use almondsail_platform::calls as platform_calls;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};

use crate::calls::connection_pool::{ConnectionPool, PoolLimits};
use crate::clock::Clock;
use crate::fleet::call_metrics::CallMetrics;
use crate::fleet::event_log::EventLog;
use crate::fleet::load_shedding::LoadShedding;
use crate::fleet::quota_link::QuotaLink;
use crate::fleet::refusal_metrics::RefusalMetrics;
use crate::fleet::reported_load::ReportedLoad;
use crate::fleet::server_metrics::ServerMetrics;
use crate::fleet::slot_queue::SlotQueue;

/// Number of idle connections that are kept open to one other node.
const MAX_IDLE_CONNECTIONS_PER_ENDPOINT: usize = 8;
/// Largest body that a connection takes whole though the backend server reads nothing of it.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// How long the backend server may read nothing of a large body: it may answer, or run the call,
/// before it reads on.
const UPLOAD_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit on the bodies of all requests together: as for answers, a tenth of the smallest host's
/// memory.
const MAX_BODY_MEMORY: ByteCount = ByteCount::new(16 * 1024 * 1024);
/// How long an idle connection to another node is kept open.
const ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// How long an idle connection to the backend server is kept open. Backend servers close idle
/// connections after ten seconds; a call sent at that moment would be lost.
const BACKEND_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for opening a connection to another node.
const ENDPOINT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between the deadline of a call that arrives during a graceful stop and the end of all calls,
/// so that its answer still arrives.
const STOP_ANSWER_TIME: Micros = Micros::new(100_000);
/// Time limit for opening a connection to the backend server, which is on the same host.
const BACKEND_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns whether the backend server may begin to run a call before it has read the whole body of
/// `length` bytes, or run it late for that reason.
pub(crate) const fn is_large_body(length: usize) -> bool {
    length > SMALL_BODY_BYTES
}

/// State that the calls of a node share: connection pools, slot queue, load estimates and the
/// retry budget.
#[derive(Debug)]
pub(crate) struct FleetTraffic {
    pub(crate) clock: Clock,
    /// Service of the backend server beside this node.
    pub(crate) service: ServiceName,
    pub(crate) queue: Arc<SlotQueue>,
    /// Grants the tokens for calls of teams with quotas.
    pub(crate) quota: Arc<QuotaLink>,
    /// Connections to the backend server for calls with a small body.
    backend_pool: Arc<ConnectionPool>,
    /// Connections to the backend server for calls with a large body.
    upload_pool: Arc<ConnectionPool>,
    pub(crate) answer_budget: Arc<AnswerBudget>,
    /// Limits the bodies of the requests that are read or not answered yet.
    pub(crate) body_budget: Arc<BodyBudget>,
    pub(crate) metrics: CallMetrics,
    pub(crate) refusals: RefusalMetrics,
    load_shedding: LoadShedding,
    pub(crate) server_metrics: ServerMetrics,
    pub(crate) log: EventLog,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    /// Load estimates of the endpoints. Locked for single decisions, never across an `await`.
    load_balancer: Mutex<LoadBalancer>,
    retry_budget: Mutex<RetryShare>,
    endpoint_pools: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
    evidence_tx: mpsc::Sender<FleetEvent>,
    /// When all calls must have ended; `None` until a graceful stop begins.
    calls_end: watch::Sender<Option<Instant>>,
}

/// The clock, addresses and shared state from which [`FleetTraffic::new`] builds the call path.
pub(crate) struct TrafficParts {
    pub(crate) clock: Clock,
    pub(crate) quota: Arc<QuotaLink>,
    pub(crate) service: ServiceName,
    pub(crate) backend: SocketAddr,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) retry_budget: RetryShare,
    pub(crate) evidence_tx: mpsc::Sender<FleetEvent>,
    pub(crate) metrics: CallMetrics,
    pub(crate) refusals: RefusalMetrics,
    pub(crate) load_shedding: LoadShedding,
    pub(crate) server_metrics: ServerMetrics,
    pub(crate) log: EventLog,
}

impl FleetTraffic {
    pub(crate) fn new(parts: TrafficParts) -> Arc<Self> {
        let limits = PoolLimits {
            max_idle: usize::MAX,
            idle_timeout: BACKEND_IDLE_TIMEOUT,
            connect_timeout: BACKEND_CONNECT_TIMEOUT,
        };
        let backend_pool = || {
            ConnectionPool::new(parts.backend, limits)
                .with_id_header(platform_calls::attempt_id_header())
        };
        let data_centre = parts.view.load().data_centre.clone();
        Arc::new(Self {
            clock: parts.clock,
            service: parts.service,
            queue: Arc::new(SlotQueue::new(parts.clock)),
            quota: parts.quota,
            server_metrics: parts.server_metrics,
            backend_pool: Arc::new(backend_pool()),
            upload_pool: Arc::new(backend_pool().with_user_timeout(UPLOAD_USER_TIMEOUT)),
            answer_budget: Arc::default(),
            body_budget: Arc::new(BodyBudget::new(MAX_BODY_MEMORY)),
            metrics: parts.metrics,
            refusals: parts.refusals,
            load_shedding: parts.load_shedding,
            log: parts.log,
            view: parts.view,
            load_balancer: Mutex::new(LoadBalancer::new(data_centre)),
            retry_budget: Mutex::new(parts.retry_budget),
            endpoint_pools: Mutex::new(HashMap::new()),
            evidence_tx: parts.evidence_tx,
            calls_end: watch::Sender::new(None),
        })
    }

    /// Locks the load balancer; the guard must not be held across an `await`.
    pub(crate) fn load_balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        self.load_balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the load that `node` reported when a call of `route` ended there, `took` after it was
    /// sent.
    pub(crate) fn record_load(
        &self,
        node: &NodeId,
        route: &RouteName,
        load: ReportedLoad,
        took: Micros,
    ) {
        let mut load_balancer = self.load_balancer();
        let endpoint = load_balancer.load(node);
        let now = self.clock.now();
        endpoint.record_report(now, route, load.calls_ahead, load.mean_time);
        if let Some(service_time) = load.service_time {
            endpoint.record_rate(now, service_time);
        }
        if let Some(run_time) = load.run_time {
            let held = load.held.unwrap_or(took);
            let way = Micros::new(took.get().saturating_sub(held.get()));
            endpoint.record_run_time_at(now, route, run_time, way);
        }
    }

    /// Locks this node's share of the retry budgets of all services.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryShare> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a graceful stop, in which all calls must have ended by `calls_end`.
    pub(crate) fn begin_stop(&self, calls_end: Instant) {
        self.calls_end.send_replace(Some(calls_end));
    }

    /// Returns `deadline`, or an earlier deadline for a call that arrives during a graceful stop, so
    /// that an endpoint that can't run it before the end of the stop refuses it.
    pub(crate) fn limit_deadline(&self, deadline: Instant) -> Instant {
        let Some(calls_end) = *self.calls_end.borrow() else { return deadline };
        let latest = calls_end.get().saturating_sub(STOP_ANSWER_TIME.get());
        deadline.min(Instant::new(latest))
    }

    /// Waits for the moment in a graceful stop at which all calls must have ended.
    pub(crate) async fn wait_for_calls_end(&self) {
        let mut calls_end = self.calls_end.subscribe();
        let end = calls_end.wait_for(Option::is_some).await.ok().and_then(|end| *end);
        match end {
            Some(end) => tokio::time::sleep_until(self.clock.to_tokio_instant(end)).await,
            // The sender is a field of `self`, so it can't be dropped meanwhile.
            None => std::future::pending().await,
        }
    }

    /// Returns the connection pool for calls to the backend server whose body has `length` bytes.
    pub(crate) fn backend_pool(&self, length: usize) -> &Arc<ConnectionPool> {
        if is_large_body(length) { &self.upload_pool } else { &self.backend_pool }
    }

    /// Returns the connection pool of the endpoint at `address`, creating it on first use.
    pub(crate) fn endpoint_pool(&self, address: SocketAddr) -> Arc<ConnectionPool> {
        let limits = PoolLimits {
            max_idle: MAX_IDLE_CONNECTIONS_PER_ENDPOINT,
            idle_timeout: ENDPOINT_IDLE_TIMEOUT,
            connect_timeout: ENDPOINT_CONNECT_TIMEOUT,
        };
        let mut endpoint_pools = self.lock_endpoint_pools();
        let pool = endpoint_pools.entry(address);
        Arc::clone(pool.or_insert_with(|| Arc::new(ConnectionPool::new(address, limits))))
    }

    /// Returns how the queue orders calls and which ones it refuses while `view` applies.
    pub(crate) fn queue_policy(&self, view: &FleetView) -> QueuePolicy {
        let has_teams = view.config.as_ref().is_some_and(|config| !config.teams.is_empty());
        self.load_shedding.policy(has_teams)
    }

    /// Adapts the queue's policy and slots, the limit on a cold server, retry budget and connection
    /// pools to a newly published view. Queued calls are refused when the backend server is gone,
    /// the node is leaving or its data centre is evacuated.
    pub(crate) fn apply_view(&self, view: &FleetView) {
        self.queue.set_policy(self.queue_policy(view));
        self.queue.apply_view(view);
        if view.backend.is_none() || view.is_leaving {
            self.queue.refuse_all(RefusalReason::Leaving);
        } else if view.ramp.is_closed(self.clock.now()) {
            self.queue.refuse_all(RefusalReason::Evacuated);
        }
        self.retry_budget().set_nodes(view.nodes);
        let is_known = |address: &SocketAddr| {
            view.services
                .values()
                .flat_map(|service| &service.endpoints)
                .any(|endpoint| endpoint.address == *address)
        };
        self.lock_endpoint_pools().retain(|address, _| is_known(address));
    }

    /// Lets the backend server count as cold until its next announcement, because it refused or
    /// closed a connection and may have restarted.
    pub(crate) fn doubt_backend(&self) {
        if self.queue.doubt_server() {
            self.send_evidence(FleetEvent::BackendDoubted(self.clock.now()));
        }
    }

    /// Tells the control loop again that the backend server may have restarted, in case it did not
    /// learn of it.
    pub(crate) fn repeat_doubt(&self) {
        if let Some(at) = self.queue.doubted_at() {
            self.send_evidence(FleetEvent::BackendDoubted(at));
        }
    }

    /// Closes the connections whose idle timeout has passed.
    pub(crate) fn close_idle_connections(&self) {
        self.backend_pool.close_idle();
        self.upload_pool.close_idle();
        for pool in self.lock_endpoint_pools().values() {
            pool.close_idle();
        }
    }

    /// Sends evidence about a rollout to the control loop. Evidence is dropped if the channel is
    /// full, since rollout decisions tolerate missing samples and calls must not wait.
    pub(crate) fn send_evidence(&self, event: FleetEvent) {
        let _ = self.evidence_tx.try_send(event);
    }

    fn lock_endpoint_pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<ConnectionPool>>> {
        self.endpoint_pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
