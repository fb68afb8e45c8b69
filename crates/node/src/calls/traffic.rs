//! State of a node that its calls share.

use std::sync::{Arc, Mutex, PoisonError};

use almondsail_core::traffic::{AdmissionCounts, BodyBudget, RetryBudget, Snapshot};
use arc_swap::{ArcSwap, ArcSwapOption};
use opentelemetry::metrics::Meter;

use crate::calls::call_counters::{CallCountsReader, CounterRegistry};
use crate::calls::claims::Claims;
use crate::calls::connection_pool::{ConnectionPool, PoolLimits};
use crate::calls::peer_token::PeerToken;
use crate::calls::routing_table::RoutingTable;
use crate::calls::slots::Slots;
use crate::calls::traffic_settings::TrafficSettings;
use crate::clock::{Clock, to_std_duration};

/// A handle to the state that the calls of a node share; clones refer to the same state.
#[derive(Debug, Clone)]
pub struct Traffic {
    pub(crate) inner: Arc<Inner>,
}

/// The state that the calls of a node share.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) settings: TrafficSettings,
    pub(crate) clock: Clock,
    pub(crate) token: PeerToken,
    pub(crate) slots: Arc<Slots>,
    pub(crate) claims: Arc<Claims>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) body_budget: Arc<BodyBudget>,
    pub(crate) backend_pool: Arc<ConnectionPool>,
    pub(crate) counters: CounterRegistry,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// The table built from the newest snapshot that a call or the idle check has loaded.
    table: ArcSwapOption<RoutingTable>,
    /// Held while a table is built, so that each snapshot is processed once.
    build_lock: Mutex<()>,
}

impl Traffic {
    /// Creates the state, which follows the snapshots stored in `snapshot`. Counters are exported
    /// through `meter`.
    pub(crate) fn new(
        snapshot: Arc<ArcSwap<Snapshot>>,
        settings: TrafficSettings,
        token: PeerToken,
        meter: Option<&Meter>,
    ) -> Self {
        let clock = Clock::start();
        let counters = CounterRegistry::default();
        if let Some(meter) = meter {
            counters.export(meter);
        }
        let limits = PoolLimits { max_idle: usize::MAX, ..pool_limits(&settings) };
        let backend_pool = Arc::new(ConnectionPool::new(settings.backend_addr, limits));
        let inner = Inner {
            clock,
            token,
            slots: Arc::new(Slots::new(clock)),
            claims: Arc::new(Claims::new(clock)),
            retry_budget: RetryBudget::new(clock.now()),
            body_budget: Arc::new(BodyBudget::new(settings.body_memory)),
            backend_pool,
            counters,
            settings,
            snapshot,
            table: ArcSwapOption::empty(),
            build_lock: Mutex::new(()),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns a reader of the call counters, which reports each call once.
    pub fn counts_reader(&self) -> CallCountsReader {
        CallCountsReader::new(self.inner.counters.clone())
    }

    /// Returns the numbers of calls by their state at the admission controller.
    pub fn admission_counts(&self) -> AdmissionCounts {
        self.inner.slots.counts()
    }
}

impl Inner {
    /// Returns the table of the newest snapshot, building it if necessary.
    pub(crate) fn table(&self) -> Arc<RoutingTable> {
        let snapshot = self.snapshot.load();
        if let Some(table) = self.table.load().as_ref()
            && Arc::ptr_eq(&table.snapshot, &snapshot)
        {
            return Arc::clone(table);
        }
        drop(snapshot);
        self.rebuild()
    }

    /// Closes connections that have been idle for too long, and processes a new snapshot
    /// while no calls arrive.
    pub(crate) fn close_idle(&self) {
        self.backend_pool.close_idle();
        let table = self.table();
        for pool in table.pools.values() {
            pool.close_idle();
        }
    }

    fn rebuild(&self) -> Arc<RoutingTable> {
        let _guard = self.build_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot = self.snapshot.load_full();
        let old = self.table.load_full();
        if let Some(table) = &old
            && Arc::ptr_eq(&table.snapshot, &snapshot)
        {
            return Arc::clone(table);
        }
        let limits = pool_limits(&self.settings);
        let now = self.clock.now();
        let table = RoutingTable::build(snapshot, old.as_deref(), now, limits, &self.counters);
        self.slots.set_limits(table.admission_limits());
        let table = Arc::new(table);
        self.table.store(Some(Arc::clone(&table)));
        table
    }
}

fn pool_limits(settings: &TrafficSettings) -> PoolLimits {
    PoolLimits {
        max_idle: settings.max_idle_per_node,
        idle_timeout: to_std_duration(settings.idle_timeout),
        connect_timeout: to_std_duration(settings.connect_timeout),
    }
}
