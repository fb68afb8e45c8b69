//! The thread that owns the control state.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::config::ConfigContent;
use almondsail_core::control::{Action, Control, Event, PeerMessage, RequestId};
use almondsail_core::ids::{ConfigVersion, NodeId, TeamName};
use almondsail_core::operators::{Answer, NodeView, Query, View};
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

/// Longest time between two events of the control state.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two readings of what traffic threads counted.
const COUNTER_READ_PERIOD: Millis = Millis::new(1_000);

/// Owns the control state, feeds it events and carries out its actions.
///
/// Runs on a runtime of its own with a single thread.
pub struct ControlThread<S> {
    control: Control,
    kept: KeptVersions,
    clock: Clock,
    rng: SmallRng,
    clients: Arc<ClientPool>,
    store: S,
    log: StateLog,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// The id of the last request that came from outside.
    last_request_id: u64,
    /// Peers that wait for a reply.
    pending_replies: HashMap<RequestId, oneshot::Sender<PeerMessage>>,
    /// Submitters that wait for an outcome.
    pending_outcomes: HashMap<RequestId, oneshot::Sender<Outcome>>,
    /// Reads what traffic threads counted.
    call_counts: CallCountsReader,
    next_counter_read: Instant,
    cost: CostMeter,
    /// Whether the hours of a report are being read. One report is read at a time.
    is_reading_report: bool,
    /// Takes the results of requests that this thread sent.
    results: mpsc::UnboundedSender<TaskResult>,
}

/// The parts that a control thread works with.
pub struct ControlParts<S> {
    /// The control state.
    pub control: Control,
    /// The clocks that the control state's times come from.
    pub clock: Clock,
    /// Connections to other nodes.
    pub clients: ClientPool,
    /// The store.
    pub store: S,
    /// Logs changes of state.
    pub log: StateLog,
    /// Where traffic threads read the published snapshot.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Reads what traffic threads counted.
    pub call_counts: CallCountsReader,
    /// Counts what the process costs.
    pub cost: CostMeter,
}

/// Where a control thread takes its inputs from.
pub struct ControlInputs {
    /// Events of this node; the thread ends when every sender is gone.
    pub events: mpsc::Receiver<Event>,
    /// Requests of other nodes.
    pub peers: mpsc::Receiver<IncomingRequest>,
    /// Requests of operators.
    pub operators: mpsc::Receiver<ControlRequest>,
}

/// Where the answer to a request for a report goes.
type ReportSender = oneshot::Sender<Result<TeamReport, OperatorError>>;

/// A request of the control thread that ended.
enum TaskResult {
    /// An event for the control state.
    Event(Event),
    /// The versions that other nodes hold, for the answer to a query.
    NodeVersions(Query, BTreeMap<NodeId, ConfigVersion>, oneshot::Sender<Answer>),
    /// The hours of a team's report.
    ReportHours(TeamName, ReportPeriod, StoredHours, ReportSender),
}

impl<S: StoreClient> ControlThread<S> {
    /// Serves `inputs` until every sender of events is gone.
    pub async fn run(parts: ControlParts<S>, mut inputs: ControlInputs) {
        // The control state bounds the number of its requests, and with it this channel.
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
        let counts = self.call_counts.drain();
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
            ControlRequest::AskOutcome(write_id, reply) => {
                let id = self.next_request_id();
                self.pending_outcomes.insert(id, reply);
                self.handle(Event::AskOutcome { id, write_id });
            }
            ControlRequest::Query(query @ Query::Nodes { .. }, reply) => {
                self.answer_nodes_query(query, reply)
            }
            ControlRequest::Query(query, reply) => {
                // The operator may have gone meanwhile; the same holds for the other pending_replies.
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

    /// Reads the hours of a report and then answers it.
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
                    // The peer may have gone meanwhile.
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

    /// The answer to `query`, with the versions that a survey of the nodes found.
    fn answer(&self, query: &Query, surveyed: &BTreeMap<NodeId, ConfigVersion>) -> Answer {
        let status = self.control.status();
        let snapshot = self.snapshot.load();
        let mut applied: BTreeMap<&NodeId, ConfigVersion> =
            self.control.peer_versions().map(|(id, version)| (id, version.held)).collect();
        applied.extend(surveyed.iter().map(|(id, version)| (id, *version)));
        applied.insert(&status.node, status.published);
        let nodes: Vec<NodeView<'_>> = self
            .control
            .peers()
            .map(|peer| NodeView { peer, applied: applied.get(&peer.id).copied() })
            .collect();
        let view = View {
            node: &status.node,
            config: snapshot.config.as_ref(),
            stops: &snapshot.stops,
            nodes: &nodes,
        };
        view.answer(query)
    }

    fn kept_content(&self, version: ConfigVersion) -> Option<ConfigContent> {
        self.kept.get(version).map(|config| config.content.clone())
    }
}
