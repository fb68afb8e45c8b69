//! The event loop that owns the control state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::fleet::{
    FleetAction, FleetChange, FleetControl, FleetEvent, FleetLogEvent, FleetView, NoticeAnswer,
    StoreRequest,
};
use almondsail_core::ids::{BackendId, ConfigVersion};
use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Request, header};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::fleet::config_source::ConfigSource;
use crate::fleet::control_delay::ControlDelay;
use crate::fleet::control_http_client::{self, ControlHttpClient};
use crate::fleet::event_log::EventLog;
use crate::fleet::fleet_store_client::FleetStoreClient;
use crate::fleet::freshness_metrics::SharedLastUpdates;
use crate::fleet::heartbeat_link::HeartbeatLink;
use crate::fleet::inbound_handler::{CONFIG_PATH, DEFLATE};
use crate::fleet::quota_link::QuotaLink;
use crate::fleet::store_requests::StoreRequests;

/// Interval of the tick events, which bound the time between two events of the control state.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for fetching the configuration, of up to a megabyte, from another node over a slow
/// link that other nodes use as well.
const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Number of received heartbeats that wait for the control state. Further ones wait in the socket,
/// which drops what it can't hold: a later heartbeat supersedes them.
const MAX_WAITING_HEARTBEATS: usize = 64;
/// Number of ticks between two updates of the times that metrics show.
const TICKS_PER_UPDATE: u32 = 10;

/// An event whose sender waits until its effect is published.
#[derive(Debug)]
pub(crate) struct ControlRequest {
    /// Event for the control state.
    pub(crate) event: FleetEvent,
    /// Backend server that sent the event; `None` if the event is not a notice of one.
    pub(crate) backend: Option<BackendId>,
    /// Notified when calls see the effect of the event and, if it is a departure, the store has
    /// recorded it or was given time to do so. Dropped if the event is refused.
    pub(crate) done: oneshot::Sender<()>,
}

/// Backend server whose notice waits for its answer.
struct WaitingBackend {
    id: BackendId,
    done: oneshot::Sender<()>,
}

/// Owns the control state, passes events to it and performs the actions that it returns.
pub(crate) struct ControlLoop {
    pub(crate) control: FleetControl,
    pub(crate) clock: Clock,
    pub(crate) store_client: FleetStoreClient,
    pub(crate) node_client: ControlHttpClient,
    pub(crate) heartbeats: HeartbeatLink,
    pub(crate) quota: Arc<QuotaLink>,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) source: Arc<ConfigSource>,
    /// Notified after each published view.
    pub(crate) view_changed_tx: watch::Sender<()>,
    /// Update times of the control state, replaced each second.
    pub(crate) last_updates: SharedLastUpdates,
    pub(crate) delay: ControlDelay,
    pub(crate) changes: Counter<u64>,
    pub(crate) log: EventLog,
}

impl ControlLoop {
    /// Runs until all senders of control requests are dropped.
    ///
    /// When more events arrive than can be handled, those of this node, the store and the clock go
    /// before the reports of other nodes and of calls, of which later ones supersede earlier ones.
    pub(crate) async fn run(
        mut self,
        mut control_rx: mpsc::Receiver<ControlRequest>,
        mut evidence_rx: mpsc::Receiver<FleetEvent>,
    ) {
        let (result_tx, mut result_rx) = mpsc::channel(256);
        let (heartbeat_tx, mut heartbeat_rx) = mpsc::channel(MAX_WAITING_HEARTBEATS);
        let mut store_requests = StoreRequests::default();
        let heartbeats = self.heartbeats.clone();
        tokio::task::spawn_local(heartbeats.receive(heartbeat_tx));
        let mut rng = SmallRng::from_os_rng();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks = 0_u32;
        let mut waiting: Vec<WaitingBackend> = Vec::new();
        loop {
            let (event, backend, done) = tokio::select! {
                biased;
                request = control_rx.recv() => match request {
                    Some(request) => (request.event, request.backend, Some(request.done)),
                    None => return,
                },
                Some(event) = result_rx.recv() => (event, None, None),
                due = tick.tick() => {
                    if ticks.is_multiple_of(TICKS_PER_UPDATE) {
                        self.last_updates.store(Arc::new(self.control.last_updates()));
                    }
                    ticks = ticks.wrapping_add(1);
                    self.delay.record(due.elapsed());
                    self.quota.update_members(&self.control);
                    (FleetEvent::Tick, None, None)
                }
                event = next_report(&mut heartbeat_rx, &mut evidence_rx) => (event, None, None),
            };
            if let FleetEvent::Store { id, .. } = &event {
                store_requests.remove(*id);
            }
            let actions = self.control.handle(self.clock.now(), self.clock.wall(), event, &mut rng);
            for action in actions {
                self.perform(action, &mut store_requests, &result_tx);
            }
            match (backend, done) {
                (Some(id), Some(done)) => waiting.push(WaitingBackend { id, done }),
                // The requester may have stopped waiting.
                (_, Some(done)) => drop(done.send(())),
                (_, None) => {}
            }
            self.answer_notices(&mut waiting);
        }
    }

    /// Answers the notices whose answer is known. Their senders may have stopped waiting.
    fn answer_notices(&self, waiting: &mut Vec<WaitingBackend>) {
        let now = self.clock.now();
        for backend in std::mem::take(waiting) {
            match self.control.notice_answer(now, &backend.id) {
                NoticeAnswer::Acknowledge => drop(backend.done.send(())),
                NoticeAnswer::Refuse => {}
                NoticeAnswer::Wait => waiting.push(backend),
            }
        }
    }

    fn perform(
        &self,
        action: FleetAction,
        store_requests: &mut StoreRequests,
        result_tx: &mpsc::Sender<FleetEvent>,
    ) {
        match action {
            FleetAction::Store { id, request } => {
                store_requests.insert(id, self.send_store_request(id, request, result_tx));
            }
            FleetAction::CancelStore(id) => store_requests.cancel(id),
            FleetAction::Heartbeat(heartbeat, to) => self.heartbeats.send(&heartbeat, &to),
            FleetAction::FetchConfig(from) => self.start_config_fetch(from, result_tx),
            FleetAction::Publish => self.publish(),
            FleetAction::Report(change) => self.report(change),
        }
    }

    fn send_store_request(
        &self,
        id: u64,
        request: StoreRequest,
        result_tx: &mpsc::Sender<FleetEvent>,
    ) -> AbortHandle {
        let (store_client, result_tx) = (self.store_client.clone(), result_tx.clone());
        let task = tokio::task::spawn_local(async move {
            // Sending fails only after the control loop has ended.
            let on_head = async || drop(result_tx.send(FleetEvent::StoreBegun(id)).await);
            let response = store_client.call(&request, on_head).await;
            let _ = result_tx.send(FleetEvent::Store { id, response }).await;
        });
        task.abort_handle()
    }

    fn start_config_fetch(&self, from: SocketAddr, result_tx: &mpsc::Sender<FleetEvent>) {
        let (node_client, result_tx) = (self.node_client.clone(), result_tx.clone());
        tokio::task::spawn_local(async move {
            let config = fetch_config(&node_client, from, &result_tx).await;
            let _ = result_tx.send(FleetEvent::PeerConfig { from, config }).await;
        });
    }

    fn publish(&self) {
        let view = self.control.view(self.clock.now());
        let version = |cfg: &Arc<almondsail_core::fleet::MeshConfig>| cfg.version;
        let before = self.view.load().config.as_ref().map_or(ConfigVersion::default(), version);
        if view.config.as_ref().is_some_and(|config| config.version > before) {
            let compressed = self.control.config().map(|text| Arc::clone(&text.compressed));
            self.source.set(compressed.map(Bytes::from_owner));
        }
        self.view.store(Arc::new(view));
        self.quota.update_members(&self.control);
        self.view_changed_tx.send_replace(());
    }

    fn report(&self, change: FleetChange) {
        self.changes.add(1, &[KeyValue::new("kind", change.kind())]);
        self.log.write(&FleetLogEvent::Change(change));
    }
}

/// Returns the next heartbeat or observed call, whichever of them there is.
async fn next_report(
    heartbeat_rx: &mut mpsc::Receiver<FleetEvent>,
    evidence_rx: &mut mpsc::Receiver<FleetEvent>,
) -> FleetEvent {
    tokio::select! {
        Some(event) = heartbeat_rx.recv() => event,
        Some(event) = evidence_rx.recv() => event,
        else => std::future::pending().await,
    }
}

/// Fetches the configuration of the node at `from`. Sends an event once it begins to arrive.
async fn fetch_config(
    node_client: &ControlHttpClient,
    from: SocketAddr,
    result_tx: &mpsc::Sender<FleetEvent>,
) -> Option<almondsail_core::fleet::ConfigText> {
    let request = Request::builder().uri(CONFIG_PATH).header(header::ACCEPT_ENCODING, DEFLATE);
    let request = request.body(Bytes::new()).ok()?;
    let answer = async {
        let response = node_client.send(from, request).await?;
        if !response.status().is_success() {
            return None;
        }
        let _ = result_tx.send(FleetEvent::PeerConfigBegun(from)).await;
        let (head, body) = response.into_parts();
        Some((head.headers, control_http_client::read_body(body).await.ok()?))
    };
    let answer = tokio::time::timeout(CONFIG_FETCH_TIMEOUT, answer).await.ok().flatten();
    let (headers, body) = answer?;
    // Earlier builds send the text as it is.
    let is_compressed = headers.get(header::CONTENT_ENCODING).is_some_and(|c| c == DEFLATE);
    let config = if is_compressed {
        almondsail_platform::config::decode_compressed(&body)
    } else {
        almondsail_platform::config::decode(&body)
    };
    config.ok()
}

/// Withdraws the node from the callers and from the backend server if the control thread panics:
/// what the node knows becomes wrong, and nobody corrects it. Requests that arrive are answered
/// until the node is stopped.
pub(crate) async fn withdraw_after_control(
    control_tx: mpsc::Sender<ControlRequest>,
    view: Arc<ArcSwap<FleetView>>,
    log: EventLog,
) {
    control_tx.closed().await;
    log.write(&FleetLogEvent::ControlEnded);
    let last = FleetView::clone(&view.load());
    view.store(Arc::new(FleetView { is_leaving: true, ..last }));
}
