//! What the calls of a node share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondsail_core::fleet::{FleetEvent, FleetView, LoadBalancer, RetryShare};
use almondsail_core::ids::{NodeId, RouteName, ServiceName};
use arc_swap::ArcSwap;
use tokio::sync::mpsc;

use crate::calls::exchange_pool::{ExchangePool, PoolLimits};
use crate::clock::Clock;
use crate::fleet::call_metrics::CallMetrics;
use crate::fleet::event_log::EventLog;
use crate::fleet::reported_load::ReportedLoad;
use crate::fleet::slot_queue::SlotQueue;

/// Idle connections to one other node.
const MAX_IDLE_CONNECTIONS_PER_ENDPOINT: usize = 8;
/// How long a connection to another node stays idle.
const ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a connection to the backend server stays idle. Well below the ten seconds after
/// which backend servers close theirs, so that no call crosses the close.
const BACKEND_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long opening a connection to another node may take.
const ENDPOINT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long opening a connection to the backend server, on the same host, may take.
const BACKEND_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// What the calls of a node share.
#[derive(Debug)]
pub(crate) struct FleetTraffic {
    pub(crate) clock: Clock,
    /// The service of the backend server beside this node.
    pub(crate) service: ServiceName,
    pub(crate) queue: Arc<SlotQueue>,
    pub(crate) backend_pool: Arc<ExchangePool>,
    pub(crate) metrics: CallMetrics,
    pub(crate) log: EventLog,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    /// Locked for single decisions of the traffic side, never across a wait.
    load_balancer: Mutex<LoadBalancer>,
    retry_budget: Mutex<RetryShare>,
    endpoint_pools: Mutex<HashMap<SocketAddr, Arc<ExchangePool>>>,
    evidence_tx: mpsc::Sender<FleetEvent>,
}

/// The parts of [`FleetTraffic`] that come from outside.
pub(crate) struct TrafficParts {
    pub(crate) clock: Clock,
    pub(crate) service: ServiceName,
    pub(crate) backend: SocketAddr,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) retry_budget: RetryShare,
    pub(crate) evidence_tx: mpsc::Sender<FleetEvent>,
    pub(crate) metrics: CallMetrics,
    pub(crate) log: EventLog,
}

impl FleetTraffic {
    pub(crate) fn new(parts: TrafficParts) -> Arc<Self> {
        let limits = PoolLimits {
            idle: usize::MAX,
            idle_time: BACKEND_IDLE_TIMEOUT,
            connect_time: BACKEND_CONNECT_TIMEOUT,
        };
        let data_centre = parts.view.load().data_centre.clone();
        Arc::new(Self {
            clock: parts.clock,
            service: parts.service,
            queue: Arc::new(SlotQueue::new(parts.clock)),
            backend_pool: Arc::new(ExchangePool::new(parts.backend, limits)),
            metrics: parts.metrics,
            log: parts.log,
            view: parts.view,
            load_balancer: Mutex::new(LoadBalancer::new(data_centre)),
            retry_budget: Mutex::new(parts.retry_budget),
            endpoint_pools: Mutex::new(HashMap::new()),
            evidence_tx: parts.evidence_tx,
        })
    }

    /// The load balancer.
    pub(crate) fn load_balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        self.load_balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Learns what `node` reported with the end of a call of `route`.
    pub(crate) fn record_load(&self, node: &NodeId, route: &RouteName, load: ReportedLoad) {
        let mut load_balancer = self.load_balancer();
        let endpoint = load_balancer.load(node);
        endpoint.report(self.clock.now(), route, load.calls_ahead, load.mean_time);
        if let Some(run_time) = load.run_time {
            endpoint.ran(route, run_time);
        }
    }

    /// This node's share of the retry budget.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryShare> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connections to the endpoint at `address`.
    pub(crate) fn endpoint_pool(&self, address: SocketAddr) -> Arc<ExchangePool> {
        let limits = PoolLimits {
            idle: MAX_IDLE_CONNECTIONS_PER_ENDPOINT,
            idle_time: ENDPOINT_IDLE_TIMEOUT,
            connect_time: ENDPOINT_CONNECT_TIMEOUT,
        };
        let mut endpoint_pools = self.lock_endpoint_pools();
        let pool = endpoint_pools.entry(address);
        Arc::clone(pool.or_insert_with(|| Arc::new(ExchangePool::new(address, limits))))
    }

    /// Follows a new view.
    pub(crate) fn apply_view(&self, view: &FleetView) {
        let backend = view.backend.as_ref();
        self.queue.set_slots(backend.map_or(0, |backend| backend.slots));
        if backend.is_none() || view.is_leaving {
            self.queue.refuse_all(almondsail_core::RefusalReason::Leaving);
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

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle_connections(&self) {
        self.backend_pool.close_old();
        for pool in self.lock_endpoint_pools().values() {
            pool.close_old();
        }
    }

    /// Hands evidence of a rollout to the control state. Evidence is dropped rather than
    /// waited for; the judge works with what comes.
    pub(crate) fn send_evidence(&self, event: FleetEvent) {
        let _ = self.evidence_tx.try_send(event);
    }

    fn lock_endpoint_pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<ExchangePool>>> {
        self.endpoint_pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
