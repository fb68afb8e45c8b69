//! The servers of a node, and its graceful stop.

use std::net::TcpListener as StdTcpListener;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::fleet::{CallerLimits, FleetEvent, FleetLogEvent, FleetView};
use almondsail_core::units::ByteCount;
use arc_swap::ArcSwap;
use http::Request;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::{to_micros, to_std_duration};
use crate::fleet::caller_handler::SharedPipeline;
use crate::fleet::config_source::ConfigSource;
use crate::fleet::control_loop::{ControlRequest, withdraw_after_control};
use crate::fleet::event_log::EventLog;
use crate::fleet::fleet_settings::FleetSettings;
use crate::fleet::http1::{Http1Settings, WRITE_TIMEOUT, serve};
use crate::fleet::local_api::{LocalApi, LocalApiParts};
use crate::fleet::stop_phase::StopPhase;
use crate::fleet::traffic::FleetTraffic;
use crate::fleet::unanswered_requests::UnansweredRequests;
use crate::fleet::{caller_handler, failure_response, inbound_handler};
use crate::http_server;
use crate::metrics::Metrics;
use crate::socket;

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

/// Servers that run on the traffic runtime.
pub(crate) struct Servers<'a> {
    pub(crate) settings: &'a FleetSettings,
    pub(crate) traffic: Arc<FleetTraffic>,
    pub(crate) source: Arc<ConfigSource>,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) control_tx: mpsc::Sender<ControlRequest>,
    pub(crate) view_changed_rx: watch::Receiver<()>,
    pub(crate) metrics: Metrics,
    pub(crate) log: EventLog,
}

impl Servers<'_> {
    /// Serves until a stop signal arrives, then drains. Calls that have not ended shortly before the
    /// end of the grace period are answered as failed; connections that are still open are closed.
    pub(crate) async fn serve(
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
        let request = ControlRequest { event: FleetEvent::StopRequested, backend: None, done };
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
        let view = Arc::clone(&self.view);
        let check_head = move |head: &Request<()>| caller_handler::check_head(&view.load(), head);
        let unanswered =
            UnansweredRequests::new("callers", &self.metrics.meter(), self.log.clone());
        let settings = Http1Settings {
            limits,
            max_connections: MAX_CALLER_CONNECTIONS,
            user_timeout: WRITE_TIMEOUT,
            bodies: Arc::clone(&self.traffic.body_budget),
            check_head: Arc::new(check_head),
            refusal: failure_response::refusal,
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
            bodies: Arc::clone(&self.traffic.body_budget),
            check_head: Arc::new(|_| None),
            refusal: inbound_handler::refusal,
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

/// Applies each published view to `traffic`. Periodically closes idle connections, and repeats a doubt
/// about the backend server that the control loop did not learn of.
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
            _ = idle_check.tick() => {
                traffic.close_idle_connections();
                traffic.repeat_doubt();
            }
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
