//! Starts, runs and stops a node of a fleet.

use std::net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use almondsail_core::fleet::{
    CallerLimits, FleetControl, FleetEvent, FleetIdentity, FleetLogEvent, FleetView, NodeEntry,
    RetryShare,
};
use almondsail_core::ids::Incarnation;
use almondsail_core::units::{ByteCount, Micros};
use arc_swap::ArcSwap;
use eyre::WrapErr as _;
use serde::Serialize;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

use crate::clock::{Clock, to_micros, to_std_duration};
use crate::fleet::call_metrics::CallMetrics;
use crate::fleet::caller_handler::SharedPipeline;
use crate::fleet::config_source::ConfigSource;
use crate::fleet::control_http_client::ControlHttpClient;
use crate::fleet::control_loop::{ControlLoop, ControlRequest, withdraw_after_control};
use crate::fleet::event_log::EventLog;
use crate::fleet::fleet_settings::FleetSettings;
use crate::fleet::fleet_store_client::FleetStoreClient;
use crate::fleet::freshness_metrics::{self, SharedLastUpdates};
use crate::fleet::heartbeat_link::HeartbeatLink;
use crate::fleet::http1::{Http1Settings, WRITE_TIMEOUT, serve};
use crate::fleet::local_api::{LocalApi, LocalApiParts};
use crate::fleet::stop_phase::StopPhase;
use crate::fleet::traffic::{FleetTraffic, TrafficParts};
use crate::fleet::unanswered_requests::UnansweredRequests;
use crate::fleet::{caller_handler, inbound_handler};
use crate::http_server;
use crate::log;
use crate::metrics::Metrics;
use crate::socket;

/// Number of control requests that may be queued; senders of further ones wait.
const MAX_QUEUED_CONTROL_REQUESTS: usize = 256;
/// Number of evidence events that may be queued; further ones are dropped.
const MAX_QUEUED_EVIDENCE: usize = 1_024;
/// Number of callers' connections that are open at a time.
const MAX_CALLER_CONNECTIONS: usize = 2_048;
/// Number of other nodes' connections that are open at a time.
const MAX_NODE_CONNECTIONS: usize = 1_024;
/// Number of connections that each local listener (readiness check, announcements, metrics) has
/// open at a time.
const MAX_LOCAL_CONNECTIONS: usize = 32;
/// How often idle connections are checked for their timeout.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long new requests are still answered in a graceful stop. Callers leave after two failed
/// readiness checks, which are a second apart.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Part of the grace period that is reserved for ending the process.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Part of the grace period, before `GRACE_MARGIN`, in which the callers of calls that have not
/// ended are answered.
const ABORTED_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Size limit of a request's head from another node, which adds a header to that of the caller.
/// Independent of the configuration, as only the entry node applies the caller's limits.
const MAX_NODE_HEAD: ByteCount = ByteCount::new(1024 * 1024);
/// Size limit of a body from another node, independent of the configuration.
const MAX_BODY: ByteCount = ByteCount::new(64 * 1024 * 1024);

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
    let source = Arc::new(ConfigSource::default());
    let (control_tx, control_rx) = mpsc::channel(MAX_QUEUED_CONTROL_REQUESTS);
    let (evidence_tx, evidence_rx) = mpsc::channel(MAX_QUEUED_EVIDENCE);
    let (view_changed_tx, view_changed_rx) = watch::channel(());
    let traffic = FleetTraffic::new(TrafficParts {
        clock,
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
        log: log.clone(),
    });
    let last_updates = SharedLastUpdates::default();
    freshness_metrics::export(&metrics.meter(), &last_updates, &traffic);
    let control_thread = ControlThread {
        settings: settings.clone(),
        control,
        clock,
        heartbeats: listeners.heartbeats,
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
        Ok(ControlLoop {
            control: self.control,
            clock: self.clock,
            store_client: FleetStoreClient::new(self.settings.store, store_timeout, client.clone()),
            node_client: client,
            heartbeats: HeartbeatLink::new(UdpSocket::from_std(self.heartbeats)?, self.log.clone()),
            view: self.view,
            source: self.source,
            view_changed_tx: self.view_changed_tx,
            last_updates: self.last_updates,
            changes,
            log: self.log,
        })
    }
}

/// Servers that run on the traffic runtime.
struct Servers<'a> {
    settings: &'a FleetSettings,
    traffic: Arc<FleetTraffic>,
    source: Arc<ConfigSource>,
    view: Arc<ArcSwap<FleetView>>,
    control_tx: mpsc::Sender<ControlRequest>,
    view_changed_rx: watch::Receiver<()>,
    metrics: Metrics,
    log: EventLog,
}

impl Servers<'_> {
    /// Serves until a stop signal arrives, then drains. Calls still open at the end of the grace
    /// period are cut.
    async fn serve(
        self,
        callers: StdTcpListener,
        nodes: StdTcpListener,
        local: [StdTcpListener; 3],
    ) -> eyre::Result<()> {
        let (stop, stop_rx) = watch::channel(StopPhase::Serving);
        let (local_stop, local_stop_rx) = watch::channel(false);
        let api = LocalApi::new(LocalApiParts {
            control: self.control_tx.clone(),
            view: Arc::clone(&self.view),
            refused: self.metrics.meter().u64_counter("fleet_refused_messages").build(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        });
        for listener in local {
            let listener = TcpListener::from_std(listener)?;
            let router = api.clone().router();
            let stop_rx = local_stop_rx.clone();
            tokio::spawn(http_server::serve(listener, router, MAX_LOCAL_CONNECTIONS, stop_rx));
        }
        tokio::spawn(apply_views(Arc::clone(&self.traffic), self.view_changed_rx.clone()));
        let (control_tx, view) = (self.control_tx.clone(), Arc::clone(&self.view));
        tokio::spawn(withdraw_after_control(control_tx, view, self.log.clone()));
        let callers = tokio::spawn(self.callers(TcpListener::from_std(callers)?, stop_rx.clone()));
        let nodes = tokio::spawn(self.nodes(TcpListener::from_std(nodes)?, stop_rx));

        let signal = wait_for_signal(&self.log).await?;
        self.log.write(&FleetLogEvent::Stopping { signal });
        let stopping_since = tokio::time::Instant::now();
        let grace = to_std_duration(self.settings.grace);
        let calls_time = grace.saturating_sub(GRACE_MARGIN + ABORTED_ANSWER_TIME);
        self.traffic.begin_stop(self.traffic.clock.now() + to_micros(calls_time));
        let (done, done_rx) = oneshot::channel();
        let request = ControlRequest { event: FleetEvent::StopRequested, done };
        // Both fail after the control thread has ended. Then the node was withdrawn already, and
        // the requests in flight must still end.
        if self.control_tx.send(request).await.is_ok() {
            let _ = done_rx.await;
        }
        stop.send_replace(StopPhase::Draining);
        let drain_end = tokio::time::Instant::now() + DRAIN_TIME;
        tokio::time::sleep_until(drain_end.min(stopping_since + calls_time)).await;
        stop.send_replace(StopPhase::Closing);
        let stop_end = stopping_since + grace.saturating_sub(GRACE_MARGIN);
        let all_ended = async {
            let _ = callers.await;
            let _ = nodes.await;
        };
        if tokio::time::timeout_at(stop_end, all_ended).await.is_err() {
            self.log.write(&FleetLogEvent::CallsAborted);
        }
        local_stop.send_replace(true);
        self.log.write(&FleetLogEvent::Stopped);
        Ok(())
    }

    fn callers(
        &self,
        listener: TcpListener,
        stop: watch::Receiver<StopPhase>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let view = Arc::clone(&self.view);
        let limits =
            move || view.load().config.as_ref().map_or_else(Default::default, |c| c.limits);
        let unanswered =
            UnansweredRequests::new("callers", &self.metrics.meter(), self.log.clone());
        let settings = Http1Settings {
            limits,
            max_connections: MAX_CALLER_CONNECTIONS,
            user_timeout: WRITE_TIMEOUT,
            stop,
            unanswered,
        };
        let traffic = Arc::clone(&self.traffic);
        let make_handler = move || {
            let (traffic, pipeline) = (Arc::clone(&traffic), SharedPipeline::default());
            move |request| {
                caller_handler::answer(Arc::clone(&traffic), Arc::clone(&pipeline), request)
            }
        };
        async move { serve(listener, settings, make_handler).await }
    }

    fn nodes(
        &self,
        listener: TcpListener,
        stop: watch::Receiver<StopPhase>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let limits =
            || CallerLimits { header: MAX_NODE_HEAD, body: MAX_BODY, ..CallerLimits::default() };
        let unanswered = UnansweredRequests::new("nodes", &self.metrics.meter(), self.log.clone());
        let settings = Http1Settings {
            limits,
            max_connections: MAX_NODE_CONNECTIONS,
            user_timeout: socket::USER_TIMEOUT,
            stop,
            unanswered,
        };
        let (traffic, source) = (Arc::clone(&self.traffic), Arc::clone(&self.source));
        let make_handler = move || {
            let (traffic, source) = (Arc::clone(&traffic), Arc::clone(&source));
            move |request| {
                inbound_handler::answer(Arc::clone(&traffic), Arc::clone(&source), request)
            }
        };
        async move { serve(listener, settings, make_handler).await }
    }
}

/// Applies each published view to `traffic` and closes idle connections periodically.
async fn apply_views(traffic: Arc<FleetTraffic>, mut view_changed_rx: watch::Receiver<()>) {
    let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
    loop {
        tokio::select! {
            changed = view_changed_rx.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = traffic.view.load_full();
                traffic.apply_view(&view);
            }
            _ = idle_check.tick() => traffic.close_idle_connections(),
        }
    }
}

/// Waits for SIGTERM or SIGINT and returns its name. SIGHUP is only logged, since settings are read
/// at startup only.
async fn wait_for_signal(log: &EventLog) -> eyre::Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok("SIGTERM"),
            _ = interrupt.recv() => return Ok("SIGINT"),
            _ = reload.recv() => log.write(&FleetLogEvent::SettingsChanged),
        }
    }
}
