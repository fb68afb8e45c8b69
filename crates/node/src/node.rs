//! Assembles the threads, servers and clients of a node and runs them.

use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use almondsail_core::control::{Control, ControlSettings, Event};
use almondsail_core::traffic::Snapshot;
use arc_swap::ArcSwap;
use opentelemetry::KeyValue;
use serde::Serialize;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::byte_counts::ByteCounts;
use crate::clock::Clock;
use crate::control::control_metrics;
use crate::control::control_request::ControlRequest;
use crate::control::control_thread::{ControlInputs, ControlParts, ControlThread};
use crate::control::cost_meter::CostMeter;
use crate::control::state_log::StateLog;
use crate::http_server;
use crate::local_api::LocalApi;
use crate::log;
use crate::metrics::Metrics;
use crate::operators::OperatorApi;
use crate::operators::operator_auth::OperatorAuth;
use crate::operators::operator_control::OperatorControl;
use crate::operators::operator_error::OperatorError;
use crate::peer_link::{ClientPool, FrameSeal, PeerServer};
use crate::settings::NodeSettings;
use crate::socket;
use crate::store_client::{HttpStore, StoreCallCounter};
use crate::{Traffic, TrafficBuilder, TrafficSettings, serve_callers, serve_inbound};

/// Capacity of the control thread's queues of events and peer requests; senders wait when one
/// is full.
const CONTROL_QUEUE_CAPACITY: usize = 1_024;
/// Capacity of the control thread's queue of operators' requests; further ones are refused.
const OPERATOR_QUEUE_CAPACITY: usize = 64;
/// Limit on concurrent connections to the operators' API.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Limit on concurrent connections to the local API.
const MAX_LOCAL_CONNECTIONS: usize = 32;
/// Time between announcing a planned stop and closing the listeners, in which peers and callers
/// switch to other nodes.
const DEREGISTRATION_DELAY: Duration = Duration::from_secs(2);

/// The addresses on which a node listens, printed as one line of JSON at the start.
#[derive(Debug, Clone, Copy, Serialize)]
struct BoundAddresses {
    callers: SocketAddr,
    #[serde(rename = "door")]
    inbound: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
    local: SocketAddr,
}

/// The bound sockets of a node, one per address in the section `listen` of its settings.
struct Listeners {
    callers: StdTcpListener,
    inbound: StdTcpListener,
    peers: StdTcpListener,
    operators: StdTcpListener,
    local: StdTcpListener,
}

impl Listeners {
    fn bind(settings: &NodeSettings) -> eyre::Result<Self> {
        let listen = &settings.listen;
        Ok(Self {
            callers: socket::bind("listen.callers", listen.callers)?,
            inbound: socket::bind("listen.door", listen.inbound)?,
            peers: socket::bind("listen.peers", listen.peers)?,
            operators: socket::bind("listen.operators", listen.operators)?,
            local: socket::bind("listen.local", listen.local)?,
        })
    }

    fn addresses(&self) -> std::io::Result<BoundAddresses> {
        Ok(BoundAddresses {
            callers: self.callers.local_addr()?,
            inbound: self.inbound.local_addr()?,
            peers: self.peers.local_addr()?,
            operators: self.operators.local_addr()?,
            local: self.local.local_addr()?,
        })
    }
}

/// Runs a node until SIGTERM or SIGINT.
///
/// Returns an error if an address can't be bound or a part of the node can't be started.
pub fn run(settings: &NodeSettings) -> eyre::Result<()> {
    let listeners = Listeners::bind(settings)?;
    let addresses = listeners.addresses()?;
    let (log, _log_end) = log::logger(&settings.identity);
    let metrics = Metrics::new()?;
    let clock = Clock::start();
    let control = Control::new(control_settings(settings, &addresses)?, clock.now(), clock.wall());
    let snapshot = Arc::new(ArcSwap::from_pointee(control.snapshot()));
    let traffic = traffic(settings, &snapshot, &metrics)?;

    let (events, control_events) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
    let (operator_requests, operators) = mpsc::channel(OPERATOR_QUEUE_CAPACITY);
    let (stop, stopped) = watch::channel(false);
    let byte_counts = ByteCounts::default();
    control_metrics::export(&metrics.meter(), &snapshot, &byte_counts);
    let seal = FrameSeal::new(settings.key.clone());
    let store_call_counter = StoreCallCounter::new(&metrics.meter());
    let store_timeout = Duration::from_millis(settings.store_timeout.get());
    let parts = ControlParts {
        control,
        clock,
        clients: ClientPool::new(seal.clone(), byte_counts.clone()),
        store: HttpStore::new(settings.store, store_timeout, store_call_counter),
        log: StateLog::new(log.clone(), &metrics.meter()),
        snapshot,
        call_counts: traffic.counts_reader(),
        cost: CostMeter::new(byte_counts.clone()),
    };
    let refused = control_metrics::refused_peer_frames(&metrics.meter());
    let (peer_requests, peers) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
    let server = PeerServer::new(seal, byte_counts, peer_requests, refused);
    let control_inputs = ControlInputs { events: control_events, peers, operators };
    let control_thread =
        ControlRuntime { parts, server, peers: listeners.peers }.start(control_inputs)?;

    let runtime = traffic_runtime(settings)?;
    let operators = operator_api(settings, operator_requests, clock, &metrics);
    let servers = Servers { traffic, events, metrics, operators, log };
    println!("{}", serde_json::to_string(&addresses)?);
    runtime.block_on(servers.serve(
        ServerListeners {
            callers: listeners.callers,
            inbound: listeners.inbound,
            operators: listeners.operators,
            local: listeners.local,
        },
        stop,
        stopped,
    ))?;
    drop(runtime);
    // All senders of events are dropped by now, so the control thread ends.
    control_thread.join().map_err(|_| eyre::eyre!("the control thread panicked"))?
}

fn control_settings(
    settings: &NodeSettings,
    addresses: &BoundAddresses,
) -> eyre::Result<ControlSettings> {
    let identity = settings.identity.clone();
    let builder = ControlSettings::builder()
        .node(identity.id)
        .host(identity.host)
        .data_centre(identity.data_centre)
        .region(identity.region)
        .peer_addr(addresses.peers)
        .inbound_addr(addresses.inbound);
    let builder = settings.seeds.iter().fold(builder, |builder, seed| builder.seed(*seed));
    Ok(builder.build()?)
}

fn traffic(
    settings: &NodeSettings,
    snapshot: &Arc<ArcSwap<Snapshot>>,
    metrics: &Metrics,
) -> eyre::Result<Traffic> {
    let traffic_settings = TrafficSettings::new(settings.backend);
    Ok(TrafficBuilder::new(snapshot.clone(), traffic_settings)
        .installation_key(settings.key.as_bytes())
        .meter(metrics.meter())
        .build()?)
}

fn operator_api(
    settings: &NodeSettings,
    requests: mpsc::Sender<ControlRequest>,
    clock: Clock,
    metrics: &Metrics,
) -> OperatorApi {
    let auth = OperatorAuth::new(settings.operators.clone());
    let errors = control_metrics::operator_errors(&metrics.meter());
    let count = move |e: &OperatorError| errors.add(1, &[KeyValue::new("reason", e.code())]);
    OperatorApi::new(auth, OperatorControl::new(requests, clock), Box::new(count))
}

fn traffic_runtime(settings: &NodeSettings) -> eyre::Result<Runtime> {
    Ok(Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?)
}

/// The control state machine and the peer server, which run on the control thread.
struct ControlRuntime {
    parts: ControlParts<HttpStore>,
    server: PeerServer,
    peers: StdTcpListener,
}

impl ControlRuntime {
    fn start(self, inputs: ControlInputs) -> eyre::Result<thread::JoinHandle<eyre::Result<()>>> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let thread = thread::Builder::new().name("control".to_owned());
        Ok(thread.spawn(move || {
            LocalSet::new().block_on(&runtime, async {
                let peers = TcpListener::from_std(self.peers)?;
                tokio::spawn(self.server.listen(peers));
                ControlThread::run(self.parts, inputs).await;
                Ok(())
            })
        })?)
    }
}

/// The bound sockets of the [`Servers`].
struct ServerListeners {
    callers: StdTcpListener,
    inbound: StdTcpListener,
    operators: StdTcpListener,
    local: StdTcpListener,
}

/// The servers that run on the traffic runtime: calls, operators' API and local API.
struct Servers {
    traffic: Traffic,
    events: mpsc::Sender<Event>,
    metrics: Metrics,
    operators: OperatorApi,
    log: Logger,
}

impl Servers {
    /// Serves until SIGTERM or SIGINT, then shuts down without aborting a call.
    async fn serve(
        self,
        listeners: ServerListeners,
        stop: watch::Sender<bool>,
        stopped: watch::Receiver<bool>,
    ) -> eyre::Result<()> {
        let callers = TcpListener::from_std(listeners.callers)?;
        let inbound = TcpListener::from_std(listeners.inbound)?;
        let local = TcpListener::from_std(listeners.local)?;
        let local_api = LocalApi::new(self.events.clone(), self.metrics.clone());
        let (stop_control, control_stopped) = watch::channel(false);
        let local = tokio::spawn(http_server::serve(
            local,
            local_api.router(),
            MAX_LOCAL_CONNECTIONS,
            control_stopped.clone(),
        ));
        let operators = TcpListener::from_std(listeners.operators)?;
        let operators = tokio::spawn(http_server::serve(
            operators,
            self.operators.router(),
            MAX_OPERATOR_CONNECTIONS,
            control_stopped,
        ));
        let callers = tokio::spawn(serve_callers(callers, self.traffic.clone(), stopped.clone()));
        let inbound = tokio::spawn(serve_inbound(inbound, self.traffic.clone(), stopped));

        wait_for_signal().await?;
        info!(self.log, "stopping");
        self.events.send(Event::StopRequested).await?;
        tokio::time::sleep(DEREGISTRATION_DELAY).await;
        stop.send_replace(true);
        callers.await?;
        inbound.await?;
        stop_control.send_replace(true);
        operators.await?;
        local.await?;
        info!(self.log, "stopped");
        Ok(())
    }
}

async fn wait_for_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
