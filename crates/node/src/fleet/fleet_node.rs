//! Puts the parts of a node of a fleet together, runs them and stops them.

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

use crate::clock::{Clock, duration};
use crate::fleet::call_metrics::CallMetrics;
use crate::fleet::caller_handler::SharedPipeline;
use crate::fleet::config_source::ConfigSource;
use crate::fleet::control_loop::{ControlLoop, Notice};
use crate::fleet::event_log::EventLog;
use crate::fleet::fleet_settings::FleetSettings;
use crate::fleet::freshness_metrics::{self, SharedLastUpdates};
use crate::fleet::heartbeat_link::HeartbeatLink;
use crate::fleet::http_caller::HttpCaller;
use crate::fleet::http1::{Http1Settings, serve};
use crate::fleet::local_api::{LocalApi, Parts};
use crate::fleet::stop_phase::StopPhase;
use crate::fleet::store_caller::StoreCaller;
use crate::fleet::traffic::{FleetTraffic, TrafficParts};
use crate::fleet::{caller_handler, inbound_handler};
use crate::http_server;
use crate::log;
use crate::metrics::Metrics;
use crate::socket;

/// Notices that wait for the control thread at most.
const CONTROL_QUEUE: usize = 256;
/// Evidence that waits for the control thread at most; more is dropped.
const EVIDENCE_QUEUE: usize = 1_024;
/// Connections of callers at a time.
const CALLER_CONNECTIONS: usize = 2_048;
/// Connections of other nodes at a time.
const NODE_CONNECTIONS: usize = 1_024;
/// Connections of the platform, the backend server and readers of metrics at a time.
const LOCAL_CONNECTIONS: usize = 32;
/// How often idle connections are checked.
const TIDY_EVERY: Duration = Duration::from_secs(1);
/// How long callers that still come are answered in a planned stop. Callers turn away after
/// two checks a second apart.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// The part of the grace that is kept back for the end of the process.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// The largest body in memory, whatever the configuration allows.
const MAX_BODY: ByteCount = ByteCount::new(64 * 1024 * 1024);

/// The listeners of a node.
struct Listeners {
    callers: StdTcpListener,
    nodes: StdTcpListener,
    heartbeats: StdUdpSocket,
    /// Of the platform's check, announcements and metrics, in this order.
    local: [StdTcpListener; 3],
}

/// The addresses on which a node listens, printed as one line of JSON at the start.
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

/// Runs a node of a fleet until it is told to stop by SIGTERM or SIGINT.
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
    let (notices, control_notices) = mpsc::channel(CONTROL_QUEUE);
    let (evidence, control_evidence) = mpsc::channel(EVIDENCE_QUEUE);
    let (published, views) = watch::channel(());
    let traffic = FleetTraffic::new(TrafficParts {
        clock,
        service: settings.service.clone(),
        backend: settings.backend,
        view: Arc::clone(&view),
        budget: RetryShare::new(
            settings.retry_ratio,
            settings.retry_allowance,
            Micros::from(settings.retry_window),
        ),
        evidence,
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
        published,
        last_updates,
        metrics: metrics.clone(),
        log: log.clone(),
    }
    .start(control_notices, control_evidence)?;
    log.write(&FleetLogEvent::Started { callers: addresses.callers, nodes: addresses.nodes });
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let servers = Servers { settings, traffic, source, view, notices, views, metrics, log };
    runtime.block_on(servers.serve(listeners.callers, listeners.nodes, listeners.local))?;
    drop(runtime);
    // The last sender of notices is gone, so the control thread ends.
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

/// What runs on the control thread.
struct ControlThread {
    settings: FleetSettings,
    control: FleetControl,
    clock: Clock,
    heartbeats: StdUdpSocket,
    view: Arc<ArcSwap<FleetView>>,
    source: Arc<ConfigSource>,
    published: watch::Sender<()>,
    last_updates: SharedLastUpdates,
    metrics: Metrics,
    log: EventLog,
}

impl ControlThread {
    fn start(
        self,
        notices: mpsc::Receiver<Notice>,
        evidence: mpsc::Receiver<FleetEvent>,
    ) -> eyre::Result<thread::JoinHandle<eyre::Result<()>>> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let thread = thread::Builder::new().name("control".to_owned());
        Ok(thread.spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                self.into_loop()?.run(notices, evidence).await;
                Ok(())
            })
        })?)
    }

    fn into_loop(self) -> eyre::Result<ControlLoop> {
        let store_timeout = duration(self.settings.store_timeout);
        let caller = HttpCaller::new(store_timeout);
        let changes = self
            .metrics
            .meter()
            .u64_counter("fleet_changes")
            .with_description("Changes of what the node believes, by kind")
            .build();
        Ok(ControlLoop {
            control: self.control,
            clock: self.clock,
            store: StoreCaller::new(self.settings.store, store_timeout, caller.clone()),
            nodes: caller,
            heartbeats: HeartbeatLink::new(UdpSocket::from_std(self.heartbeats)?, self.log.clone()),
            view: self.view,
            source: self.source,
            published: self.published,
            last_updates: self.last_updates,
            changes,
            log: self.log,
        })
    }
}

/// The servers on the traffic runtime.
struct Servers<'a> {
    settings: &'a FleetSettings,
    traffic: Arc<FleetTraffic>,
    source: Arc<ConfigSource>,
    view: Arc<ArcSwap<FleetView>>,
    notices: mpsc::Sender<Notice>,
    views: watch::Receiver<()>,
    metrics: Metrics,
    log: EventLog,
}

impl Servers<'_> {
    /// Serves until a signal asks to stop, then ends without cutting a call.
    async fn serve(
        self,
        callers: StdTcpListener,
        nodes: StdTcpListener,
        local: [StdTcpListener; 3],
    ) -> eyre::Result<()> {
        let (stop, stopped) = watch::channel(StopPhase::Serving);
        let (stop_local, local_stopped) = watch::channel(false);
        let api = LocalApi::new(Parts {
            control: self.notices.clone(),
            view: Arc::clone(&self.view),
            refused: self.metrics.meter().u64_counter("fleet_refused_messages").build(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        });
        for listener in local {
            let listener = TcpListener::from_std(listener)?;
            let router = api.clone().router();
            let stopped = local_stopped.clone();
            tokio::spawn(http_server::serve(listener, router, LOCAL_CONNECTIONS, stopped));
        }
        tokio::spawn(follow(Arc::clone(&self.traffic), self.views.clone()));
        let callers = tokio::spawn(self.callers(TcpListener::from_std(callers)?, stopped.clone()));
        let nodes = tokio::spawn(self.nodes(TcpListener::from_std(nodes)?, stopped));

        let signal = wait_for_signal(&self.log).await?;
        self.log.write(&FleetLogEvent::Stopping { signal });
        let (done, is_done) = oneshot::channel();
        self.notices.send(Notice { event: FleetEvent::StopRequested, done }).await?;
        // The control thread lives as long as `notices`.
        let _ = is_done.await;
        stop.send_replace(StopPhase::Draining);
        tokio::time::sleep(DRAIN_TIME).await;
        stop.send_replace(StopPhase::Closing);
        let rest = duration(self.settings.grace).saturating_sub(DRAIN_TIME + GRACE_MARGIN);
        let all_ended = async {
            let _ = callers.await;
            let _ = nodes.await;
        };
        if tokio::time::timeout(rest, all_ended).await.is_err() {
            self.log.write(&FleetLogEvent::CallsCut);
        }
        stop_local.send_replace(true);
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
        let settings = Http1Settings { limits, connections: CALLER_CONNECTIONS, stop };
        let traffic = Arc::clone(&self.traffic);
        let handler = move || {
            let (traffic, pipeline) = (Arc::clone(&traffic), SharedPipeline::default());
            move |request| {
                caller_handler::answer(Arc::clone(&traffic), Arc::clone(&pipeline), request)
            }
        };
        async move { serve(listener, settings, handler).await }
    }

    fn nodes(
        &self,
        listener: TcpListener,
        stop: watch::Receiver<StopPhase>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let limits = || CallerLimits { body: MAX_BODY, ..CallerLimits::default() };
        let settings = Http1Settings { limits, connections: NODE_CONNECTIONS, stop };
        let (traffic, source) = (Arc::clone(&self.traffic), Arc::clone(&self.source));
        let handler = move || {
            let (traffic, source) = (Arc::clone(&traffic), Arc::clone(&source));
            move |request| {
                inbound_handler::answer(Arc::clone(&traffic), Arc::clone(&source), request)
            }
        };
        async move { serve(listener, settings, handler).await }
    }
}

/// Follows new views and closes idle connections.
async fn follow(traffic: Arc<FleetTraffic>, mut views: watch::Receiver<()>) {
    let mut tidy = tokio::time::interval(TIDY_EVERY);
    loop {
        tokio::select! {
            changed = views.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = traffic.view.load_full();
                traffic.follow(&view);
            }
            _ = tidy.tick() => traffic.tidy(),
        }
    }
}

/// Waits for a signal that asks to stop; one that tells of new settings is noted.
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
