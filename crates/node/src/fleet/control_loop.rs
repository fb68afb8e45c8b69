//! The thread that owns the control state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::fleet::{
    FleetAction, FleetChange, FleetControl, FleetEvent, FleetLogEvent, FleetView, StoreRequest,
};
use almondsail_core::ids::ConfigVersion;
use arc_swap::ArcSwap;
use bytes::Bytes;
use http::Request;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::fleet::config_source::ConfigSource;
use crate::fleet::event_log::EventLog;
use crate::fleet::freshness_metrics::SharedLastUpdates;
use crate::fleet::heartbeat_link::HeartbeatLink;
use crate::fleet::http_caller::{CallLimits, HttpCaller};
use crate::fleet::inbound_handler::CONFIG_PATH;
use crate::fleet::store_caller::StoreCaller;

/// Longest time between two events of the control state.
const TICK: Duration = Duration::from_millis(100);
/// How long another node may take to send its configuration, a megabyte at most, over a slow
/// link that other nodes use as well.
const FETCH_TIME: Duration = Duration::from_millis(1_800);
/// How long another node may take to begin with it. One that is cut off never does, and there
/// are others to ask.
const FETCH_HEAD_TIME: Duration = Duration::from_millis(500);

/// An event that is answered once its effect is published.
#[derive(Debug)]
pub(crate) struct Notice {
    /// The event.
    pub(crate) event: FleetEvent,
    /// Told when calls see the effect.
    pub(crate) done: oneshot::Sender<()>,
}

/// Owns the control state, feeds it events and carries out its actions.
pub(crate) struct ControlLoop {
    pub(crate) control: FleetControl,
    pub(crate) clock: Clock,
    pub(crate) store: StoreCaller,
    pub(crate) nodes: HttpCaller,
    pub(crate) heartbeats: HeartbeatLink,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) source: Arc<ConfigSource>,
    /// Told after each new view.
    pub(crate) published: watch::Sender<()>,
    /// Told with each tick.
    pub(crate) last_updates: SharedLastUpdates,
    pub(crate) changes: Counter<u64>,
    pub(crate) log: EventLog,
}

impl ControlLoop {
    /// Runs until the sender of notices is gone.
    pub(crate) async fn run(
        mut self,
        mut notices: mpsc::Receiver<Notice>,
        mut evidence: mpsc::Receiver<FleetEvent>,
    ) {
        let (results, mut finished) = mpsc::channel(256);
        let heartbeats = self.heartbeats.clone();
        tokio::task::spawn_local(heartbeats.receive(results.clone()));
        let mut rng = SmallRng::from_os_rng();
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let (event, done) = tokio::select! {
                notice = notices.recv() => match notice {
                    Some(notice) => (notice.event, Some(notice.done)),
                    None => return,
                },
                Some(event) = finished.recv() => (event, None),
                Some(event) = evidence.recv() => (event, None),
                _ = tick.tick() => {
                    self.last_updates.store(Arc::new(self.control.last_updates(self.clock.now())));
                    (FleetEvent::Tick, None)
                }
            };
            let actions = self.control.handle(self.clock.now(), self.clock.wall(), event, &mut rng);
            for action in actions {
                self.carry_out(action, &results);
            }
            if let Some(done) = done {
                // The asker may have gone meanwhile.
                let _ = done.send(());
            }
        }
    }

    fn carry_out(&self, action: FleetAction, results: &mpsc::Sender<FleetEvent>) {
        match action {
            FleetAction::Store { id, request } => self.ask_store(id, request, results),
            FleetAction::Heartbeat(heartbeat, to) => self.heartbeats.send(&heartbeat, &to),
            FleetAction::FetchConfig(from) => self.fetch(from, results),
            FleetAction::Publish => self.publish(),
            FleetAction::Report(change) => self.report(change),
        }
    }

    fn ask_store(&self, id: u64, request: StoreRequest, results: &mpsc::Sender<FleetEvent>) {
        let (store, results) = (self.store.clone(), results.clone());
        tokio::task::spawn_local(async move {
            let reply = store.call(&request).await;
            // The loop has ended if nobody takes the reply.
            let _ = results.send(FleetEvent::Store { id, reply }).await;
        });
    }

    fn fetch(&self, from: SocketAddr, results: &mpsc::Sender<FleetEvent>) {
        let (nodes, results) = (self.nodes.clone(), results.clone());
        tokio::task::spawn_local(async move {
            let config = fetch_config(&nodes, from).await;
            let _ = results.send(FleetEvent::PeerConfig(config)).await;
        });
    }

    fn publish(&self) {
        let view = self.control.view(self.clock.now());
        let version = |cfg: &Arc<almondsail_core::fleet::MeshConfig>| cfg.version;
        let before = self.view.load().config.as_ref().map_or(ConfigVersion::default(), version);
        if view.config.as_ref().is_some_and(|config| config.version > before) {
            let text = self.control.config().map(|text| Bytes::copy_from_slice(&text.text));
            self.source.set(text);
        }
        self.view.store(Arc::new(view));
        self.published.send_replace(());
    }

    fn report(&self, change: FleetChange) {
        self.changes.add(1, &[KeyValue::new("kind", change.kind())]);
        self.log.write(&FleetLogEvent::Change(change));
    }
}

async fn fetch_config(
    nodes: &HttpCaller,
    from: SocketAddr,
) -> Option<almondsail_core::fleet::ConfigText> {
    let request = Request::builder().uri(CONFIG_PATH).body(Bytes::new()).ok()?;
    let limits = CallLimits { head: FETCH_HEAD_TIME, whole: FETCH_TIME };
    let (status, body) = nodes.call(from, request, limits).await?;
    if !status.is_success() {
        return None;
    }
    almondsail_platform::config::decode(&body).ok()
}
