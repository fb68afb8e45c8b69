//! Starts, runs and stops a node of a fleet.

use std::net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket};
use std::sync::Arc;
use std::thread;

use almondsail_core::fleet::{
    FleetControl, FleetEvent, FleetIdentity, FleetLogEvent, FleetView, NodeEntry, RetryShare,
};
use almondsail_core::ids::Incarnation;
use almondsail_core::units::Micros;
use arc_swap::ArcSwap;
use eyre::WrapErr as _;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::clock::{Clock, to_std_duration};
use crate::fleet::call_metrics::CallMetrics;
use crate::fleet::config_source::ConfigSource;
use crate::fleet::control_delay::ControlDelay;
use crate::fleet::control_http_client::ControlHttpClient;
use crate::fleet::control_loop::{ControlLoop, ControlRequest};
use crate::fleet::event_log::EventLog;
use crate::fleet::fleet_settings::FleetSettings;
use crate::fleet::fleet_store_client::FleetStoreClient;
use crate::fleet::freshness_metrics::{self, SharedLastUpdates};
use crate::fleet::heartbeat_link::HeartbeatLink;
use crate::fleet::quota_link::QuotaLink;
use crate::fleet::refusal_metrics::RefusalMetrics;
use crate::fleet::server_metrics::{self, ServerMetrics};
use crate::fleet::servers::Servers;
use crate::fleet::traffic::{FleetTraffic, TrafficParts};
use crate::log;
use crate::metrics::Metrics;
use crate::socket;

/// Number of control requests that may be queued; senders of further ones wait.
const MAX_QUEUED_CONTROL_REQUESTS: usize = 256;
/// Number of evidence events that may be queued; further ones are dropped.
const MAX_QUEUED_EVIDENCE: usize = 1_024;
/// Bound sockets of a node.
struct Listeners {
    callers: StdTcpListener,
    nodes: StdTcpListener,
    heartbeats: StdUdpSocket,
    /// Listeners for the readiness check, announcements and metrics, in this order.
    local: [StdTcpListener; 3],
}

/// Bound addresses of a node, printed to standard output as one line of JSON at startup.
#[derive(Debug, Clone, Copy, Serialize)]
struct BoundAddresses {
    callers: SocketAddr,
    nodes: SocketAddr,
    ready: SocketAddr,
    announcements: SocketAddr,
    metrics: SocketAddr,
}

impl Listeners {
    fn bind(settings: &FleetSettings) -> eyre::Result<Self> {
        let listen = &settings.listen;
        let nodes = socket::bind("listen.nodes", listen.nodes)?;
        let heartbeats = StdUdpSocket::bind(nodes.local_addr()?)
            .wrap_err_with(|| format!("listen.nodes: {}", listen.nodes))?;
        heartbeats.set_nonblocking(true)?;
        Ok(Self {
            callers: socket::bind("listen.callers", listen.callers)?,
            nodes,
            heartbeats,
            local: [
                socket::bind("listen.ready", listen.ready)?,
                socket::bind("listen.announcements", listen.announcements)?,
                socket::bind("listen.metrics", listen.metrics)?,
            ],
        })
    }

    fn addresses(&self) -> std::io::Result<BoundAddresses> {
        Ok(BoundAddresses {
            callers: self.callers.local_addr()?,
            nodes: self.nodes.local_addr()?,
            ready: self.local[0].local_addr()?,
            announcements: self.local[1].local_addr()?,
            metrics: self.local[2].local_addr()?,
        })
    }
}

/// Runs a node of a fleet until SIGTERM or SIGINT stops it. Fails if a listener can't be bound or
/// a thread can't be started.
pub fn run(settings: &FleetSettings) -> eyre::Result<()> {
    let listeners = Listeners::bind(settings)?;
    let addresses = listeners.addresses()?;
    println!("{}", serde_json::to_string(&addresses)?);
    let metrics = Metrics::new()?;
    let clock = Clock::start();
    let (log, _log_end) = log::fleet_logger(settings.id.as_str(), settings.data_centre.as_str());
    let log = EventLog::new(log, clock, &metrics.meter());
    let control = FleetControl::new(identity(settings, &addresses, clock), clock.now());
    let view = Arc::new(ArcSwap::from_pointee(control.view(clock.now())));
    let source = Arc::new(ConfigSource::new(&metrics.meter()));
    let (control_tx, control_rx) = mpsc::channel(MAX_QUEUED_CONTROL_REQUESTS);
    let (evidence_tx, evidence_rx) = mpsc::channel(MAX_QUEUED_EVIDENCE);
    let (view_changed_tx, view_changed_rx) = watch::channel(());
    let quota_socket = listeners.heartbeats.try_clone()?;
    let quota =
        QuotaLink::new(clock, quota_socket, Arc::clone(&view), settings.quota, &metrics.meter())?;
    let quota = Arc::new(quota);
    let traffic = FleetTraffic::new(TrafficParts {
        clock,
        quota: Arc::clone(&quota),
        service: settings.service.clone(),
        backend: settings.backend,
        view: Arc::clone(&view),
        retry_budget: RetryShare::new(
            settings.retry_ratio,
            settings.retry_allowance,
            Micros::from(settings.retry_window),
        ),
        evidence_tx,
        metrics: CallMetrics::new(&metrics.meter()),
        refusals: RefusalMetrics::new(&metrics.meter()),
        load_shedding: settings.load_shedding,
        server_metrics: ServerMetrics::new(&metrics.meter()),
        log: log.clone(),
    });
    let last_updates = SharedLastUpdates::default();
    freshness_metrics::export(&metrics.meter(), &last_updates, &traffic);
    server_metrics::export(&metrics.meter(), &traffic);
    let control_thread = ControlThread {
        settings: settings.clone(),
        control,
        clock,
        heartbeats: listeners.heartbeats,
        quota,
        view: Arc::clone(&view),
        source: Arc::clone(&source),
        view_changed_tx,
        last_updates,
        metrics: metrics.clone(),
        log: log.clone(),
    }
    .start(control_rx, evidence_rx)?;
    log.write(&FleetLogEvent::Started { callers: addresses.callers, nodes: addresses.nodes });
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let servers =
        Servers { settings, traffic, source, view, control_tx, view_changed_rx, metrics, log };
    runtime.block_on(servers.serve(listeners.callers, listeners.nodes, listeners.local))?;
    drop(runtime);
    // Dropping the runtime dropped the last sender of control requests, so the control thread ends.
    control_thread.join().map_err(|_| eyre::eyre!("the control thread panicked"))?
}

fn identity(settings: &FleetSettings, addresses: &BoundAddresses, clock: Clock) -> FleetIdentity {
    FleetIdentity {
        entry: NodeEntry {
            node: settings.id.clone(),
            inbound: addresses.nodes,
            heartbeats: addresses.nodes,
            data_centre: settings.data_centre.clone(),
            departed: None,
        },
        incarnation: Incarnation::new(clock.wall().get()),
        service: settings.service.clone(),
        backend: settings.backend,
    }
}

/// State that moves to the control thread.
struct ControlThread {
    settings: FleetSettings,
    control: FleetControl,
    clock: Clock,
    heartbeats: StdUdpSocket,
    quota: Arc<QuotaLink>,
    view: Arc<ArcSwap<FleetView>>,
    source: Arc<ConfigSource>,
    view_changed_tx: watch::Sender<()>,
    last_updates: SharedLastUpdates,
    metrics: Metrics,
    log: EventLog,
}

impl ControlThread {
    fn start(
        self,
        control_rx: mpsc::Receiver<ControlRequest>,
        evidence_rx: mpsc::Receiver<FleetEvent>,
    ) -> eyre::Result<thread::JoinHandle<eyre::Result<()>>> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let thread = thread::Builder::new().name("control".to_owned());
        Ok(thread.spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                self.into_loop()?.run(control_rx, evidence_rx).await;
                Ok(())
            })
        })?)
    }

    fn into_loop(self) -> eyre::Result<ControlLoop> {
        let store_timeout = to_std_duration(self.settings.store_timeout);
        let client = ControlHttpClient::new(store_timeout);
        let changes = self
            .metrics
            .meter()
            .u64_counter("fleet_changes")
            .with_description("Changes of what the node believes, by kind")
            .build();
        let heartbeats = UdpSocket::from_std(self.heartbeats)?;
        Ok(ControlLoop {
            control: self.control,
            clock: self.clock,
            store_client: FleetStoreClient::new(self.settings.store, store_timeout, client.clone()),
            node_client: client,
            heartbeats: HeartbeatLink::new(
                heartbeats,
                Arc::clone(&self.quota),
                self.log.clone(),
                &self.metrics.meter(),
            ),
            quota: self.quota,
            view: self.view,
            source: self.source,
            view_changed_tx: self.view_changed_tx,
            last_updates: self.last_updates,
            delay: ControlDelay::new(&self.metrics.meter(), self.log.clone()),
            changes,
            log: self.log,
        })
    }
}
