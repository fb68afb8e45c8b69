//! The thread that owns the control state.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::config::ConfigContent;
use almondsail_core::control::{Action, Control, Event, PeerMessage, RequestId};
use almondsail_core::ids::{ConfigVersion, NodeId, TeamName};
use almondsail_core::operators::{Answer, KnownNode, Query, QueryContext};
use almondsail_core::report::{ReportInput, ReportPeriod, ReportQuery, StoredHours, TeamReport};
use almondsail_core::store::Outcome;
use almondsail_core::sync::KeptVersions;
use almondsail_core::traffic::Snapshot;
use almondsail_core::units::{Instant, Millis};
use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use crate::calls::call_counters::CallCountsReader;
use crate::clock::Clock;
use crate::control::control_request::ControlRequest;
use crate::control::cost_meter::CostMeter;
use crate::control::counted_calls;
use crate::control::ended_calls;
use crate::control::report_reader;
use crate::control::state_log::StateLog;
use crate::control::version_survey;
use crate::operators::operator_error::OperatorError;
use crate::peer_link::{ClientPool, IncomingRequest};
use crate::store_client::StoreClient;

/// Longest interval between two events handled by the control state, whose timers fire on ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the call counters of the traffic threads are read.
const COUNTER_READ_PERIOD: Millis = Millis::new(1_000);

/// Owns the control state, feeds it events and executes its actions.
///
/// Runs on its own single-threaded runtime.
pub struct ControlThread<S> {
    control: Control,
    kept: KeptVersions,
    clock: Clock,
    rng: SmallRng,
    clients: Arc<ClientPool>,
    store: S,
    log: StateLog,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// Id given to the last request of a peer or an operator.
    last_request_id: u64,
    /// Reply channels of requests from peers.
    pending_replies: HashMap<RequestId, oneshot::Sender<PeerMessage>>,
    /// Reply channels of operators who wait for the outcome of a change.
    pending_outcomes: HashMap<RequestId, oneshot::Sender<Outcome>>,
    call_counts: CallCountsReader,
    next_counter_read: Instant,
    cost: CostMeter,
    /// Whether a report is being built. Only one is built at a time, to limit reads of the store.
    is_reading_report: bool,
    /// Given to each spawned task, which sends its result back to this thread.
    results: mpsc::UnboundedSender<TaskResult>,
}

/// The dependencies of a [`ControlThread`].
pub struct ControlParts<S> {
    /// State machine that the thread drives; it does no input or output itself.
    pub control: Control,
    /// Source of the monotonic and wall-clock times given to the control state.
    pub clock: Clock,
    /// Pool of connections over which messages are sent to other nodes.
    pub clients: ClientPool,
    /// Client of the key-value store of configurations and report sums.
    pub store: S,
    /// Logs and counts the state changes that the control state reports.
    pub log: StateLog,
    /// Snapshot of the control state that this thread publishes for the traffic threads.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Reads the call counters that the traffic threads increment.
    pub call_counts: CallCountsReader,
    /// Measures the processor time, peer traffic and store calls of the process.
    pub cost: CostMeter,
}

/// The channels from which a [`ControlThread`] receives its inputs.
pub struct ControlInputs {
    /// Events of this node. The thread ends when every sender is dropped.
    pub events: mpsc::Receiver<Event>,
    /// Requests from other nodes, forwarded by the peer server.
    pub peers: mpsc::Receiver<IncomingRequest>,
    /// Requests from operators, forwarded by the operators' HTTP server.
    pub operators: mpsc::Receiver<ControlRequest>,
}

/// Channel for the answer to a report request.
type ReportSender = oneshot::Sender<Result<TeamReport, OperatorError>>;

/// The result of a task that the control thread spawned.
enum TaskResult {
    /// A reply of the store or of a peer, as an event for the control state.
    Event(Event),
    /// The configuration versions that other nodes hold, needed to answer a query.
    NodeVersions(Query, BTreeMap<NodeId, ConfigVersion>, oneshot::Sender<Answer>),
    /// The hourly sums from which a team's report is built.
    ReportHours(TeamName, ReportPeriod, StoredHours, ReportSender),
}

impl<S: StoreClient> ControlThread<S> {
    /// Handles `inputs` until every sender of events is dropped.
    pub async fn run(parts: ControlParts<S>, mut inputs: ControlInputs) {
        // The channel stays small because the control state limits its pending requests.
        let (results, mut task_results) = mpsc::unbounded_channel();
        let mut thread = Self::new(parts, results);
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.events.recv() => match input {
                    Some(event) => thread.handle(event),
                    None => return,
                },
                Some(request) = inputs.peers.recv() => thread.handle_peer_request(request),
                Some(request) = inputs.operators.recv() => thread.handle_operator_request(request),
                Some(result) = task_results.recv() => thread.handle_task_result(result),
                _ = ticks.tick() => thread.tick(),
            }
        }
    }

    fn new(parts: ControlParts<S>, results: mpsc::UnboundedSender<TaskResult>) -> Self {
        Self {
            control: parts.control,
            kept: KeptVersions::default(),
            clock: parts.clock,
            rng: SmallRng::from_os_rng(),
            clients: Arc::new(parts.clients),
            store: parts.store,
            log: parts.log,
            snapshot: parts.snapshot,
            last_request_id: 0,
            pending_replies: HashMap::new(),
            pending_outcomes: HashMap::new(),
            call_counts: parts.call_counts,
            next_counter_read: Instant::default(),
            cost: parts.cost,
            is_reading_report: false,
            results,
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.next_counter_read {
            self.next_counter_read = now + COUNTER_READ_PERIOD;
            self.read_counters();
        }
        self.handle(Event::Tick);
    }

    fn read_counters(&mut self) {
        let counts = self.call_counts.read_changes();
        let ended = ended_calls::from_counts(&counts);
        if !ended.is_empty() {
            self.handle(Event::CallsEnded(ended));
        }
        let counted = counted_calls::from_counts(counts);
        if !counted.is_empty() {
            self.handle(Event::CallsCounted(counted));
        }
        if let Some(total) = self.cost.read() {
            self.handle(Event::CostRead(total));
        }
    }

    fn handle_peer_request(&mut self, request: IncomingRequest) {
        let id = self.next_request_id();
        self.pending_replies.insert(id, request.reply);
        self.handle(Event::PeerRequest { id, message: request.message });
    }

    fn handle_operator_request(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::Submit(submission, reply) => {
                let id = self.next_request_id();
                self.pending_outcomes.insert(id, reply);
                self.handle(Event::Submit { id, submission: *submission });
            }
            ControlRequest::QueryOutcome(write_id, reply) => {
                let id = self.next_request_id();
                self.pending_outcomes.insert(id, reply);
                self.handle(Event::QueryOutcome { id, write_id });
            }
            ControlRequest::Query(query @ Query::Nodes { .. }, reply) => {
                self.answer_nodes_query(query, reply)
            }
            ControlRequest::Query(query, reply) => {
                // Here and below, sending fails only if the operator has disconnected.
                let _ = reply.send(self.answer(&query, &BTreeMap::new()));
            }
            ControlRequest::KeptContent(version, reply) => {
                let _ = reply.send(self.kept_content(version));
            }
            ControlRequest::Report(query, reply) => self.start_report(query, reply),
        }
    }

    fn handle_task_result(&mut self, result: TaskResult) {
        match result {
            TaskResult::Event(event) => self.handle(event),
            TaskResult::NodeVersions(query, versions, reply) => {
                let _ = reply.send(self.answer(&query, &versions));
            }
            TaskResult::ReportHours(team, period, hours, reply) => {
                self.is_reading_report = false;
                let _ = reply.send(self.report(&team, period, &hours));
            }
        }
    }

    /// Spawns a task that reads the report's hours from the store; refuses a second report
    /// meanwhile.
    fn start_report(&mut self, query: ReportQuery, reply: ReportSender) {
        if std::mem::replace(&mut self.is_reading_report, true) {
            let _ = reply.send(Err(OperatorError::Busy));
            return;
        }
        let data_centres = self.control.peers().map(|peer| peer.data_centre.clone());
        let hours = StoredHours::new(data_centres);
        let period = ReportPeriod::new(query.since, self.clock.wall());
        let keys = period.keys(hours.data_centres());
        let (store, cost, results) = (self.store.clone(), self.cost.clone(), self.results.clone());
        tokio::task::spawn_local(async move {
            let hours = report_reader::read_hours(store, cost, keys, hours).await;
            let _ = results.send(TaskResult::ReportHours(query.team, period, hours, reply));
        });
    }

    fn report(
        &self,
        team: &TeamName,
        period: ReportPeriod,
        hours: &StoredHours,
    ) -> Result<TeamReport, OperatorError> {
        let config = self.control.config().ok_or(OperatorError::NoReport)?;
        let input = ReportInput { period, hours, content: &config.content };
        if input.has_team(team) {
            Ok(TeamReport::new(team, input))
        } else {
            Err(OperatorError::NoReport)
        }
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId::new(self.last_request_id)
    }

    fn handle(&mut self, event: Event) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        for action in self.control.handle(now, wall, event, &mut self.rng) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, to, message, timeout } => self.send(id, to, message, timeout),
            Action::Reply { id, message } => {
                if let Some(reply) = self.pending_replies.remove(&id) {
                    // Sending fails only if the peer has disconnected.
                    let _ = reply.send(message);
                }
            }
            Action::Store { id, request } => {
                let (store, results) = (self.store.clone(), self.results.clone());
                self.cost.count_store_call();
                tokio::task::spawn_local(async move {
                    let reply = store.request(request).await;
                    let _ = results.send(TaskResult::Event(Event::StoreReply { id, reply }));
                });
            }
            Action::Submitted { id, outcome } => {
                if let Some(submitter) = self.pending_outcomes.remove(&id) {
                    let _ = submitter.send(outcome);
                }
            }
            Action::Publish => self.publish(),
            Action::Report(change) => self.log.report(&change),
        }
    }

    fn publish(&mut self) {
        if let Some(config) = self.control.config() {
            self.kept.keep(config);
        }
        self.snapshot.store(Arc::new(self.control.snapshot()));
    }

    fn send(&self, id: RequestId, to: SocketAddr, message: PeerMessage, timeout: Millis) {
        let (clients, results) = (self.clients.clone(), self.results.clone());
        tokio::task::spawn_local(async move {
            let limit = Duration::from_millis(timeout.get());
            let reply = clients.send(to, &message, limit).await;
            let _ = results.send(TaskResult::Event(Event::PeerReply { id, reply }));
        });
    }

    /// Asks every node for its version and then answers `query`.
    fn answer_nodes_query(&self, query: Query, reply: oneshot::Sender<Answer>) {
        let own = self.control.status().node;
        let nodes = self.control.peers().filter(|peer| peer.id != own && peer.status.takes_calls());
        let nodes: Vec<(NodeId, SocketAddr)> =
            nodes.map(|peer| (peer.id.clone(), peer.peer_addr)).collect();
        let ping = PeerMessage::Ping(self.control.sync_status());
        let (clients, results) = (self.clients.clone(), self.results.clone());
        tokio::task::spawn_local(async move {
            let versions = version_survey::query_versions(&clients, ping, nodes).await;
            let _ = results.send(TaskResult::NodeVersions(query, versions, reply));
        });
    }

    /// Answers `query`. Versions in `surveyed`, which nodes have just reported, take
    /// precedence over those in the control state.
    fn answer(&self, query: &Query, surveyed: &BTreeMap<NodeId, ConfigVersion>) -> Answer {
        let status = self.control.status();
        let snapshot = self.snapshot.load();
        let mut applied: BTreeMap<&NodeId, ConfigVersion> =
            self.control.peer_versions().map(|(id, version)| (id, version.held)).collect();
        applied.extend(surveyed.iter().map(|(id, version)| (id, *version)));
        applied.insert(&status.node, status.published);
        let nodes: Vec<KnownNode<'_>> = self
            .control
            .peers()
            .map(|peer| KnownNode { peer, applied: applied.get(&peer.id).copied() })
            .collect();
        let context = QueryContext {
            node: &status.node,
            config: snapshot.config.as_ref(),
            stops: &snapshot.stops,
            nodes: &nodes,
        };
        context.answer(query)
    }

    fn kept_content(&self, version: ConfigVersion) -> Option<ConfigContent> {
        self.kept.get(version).map(|config| config.content.clone())
    }
}
