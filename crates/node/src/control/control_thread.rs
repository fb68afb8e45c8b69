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
const TICK: Duration = Duration::from_millis(100);

/// Time between two readings of what traffic threads counted.
const COUNT_PERIOD: Millis = Millis::new(1_000);

/// Owns the control state, feeds it events and carries out its actions.
///
/// Runs on a runtime of its own with a single thread.
pub struct ControlThread<S> {
    control: Control,
    kept: KeptVersions,
    clock: Clock,
    rng: SmallRng,
    links: Arc<ClientPool>,
    store: S,
    log: StateLog,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// The id of the last request that came from outside.
    incoming: u64,
    /// Peers that wait for a reply.
    replies: HashMap<RequestId, oneshot::Sender<PeerMessage>>,
    /// Submitters that wait for an outcome.
    outcomes: HashMap<RequestId, oneshot::Sender<Outcome>>,
    /// Reads what traffic threads counted.
    calls: CallCountsReader,
    next_count: Instant,
    cost: CostMeter,
    /// Whether the hours of a report are being read. One report is read at a time.
    is_reading: bool,
    /// Takes the results of requests that this thread sent.
    results: mpsc::UnboundedSender<Finished>,
}

/// The parts that a control thread works with.
pub struct ControlParts<S> {
    /// The control state.
    pub control: Control,
    /// The clocks that the control state's times come from.
    pub clock: Clock,
    /// Connections to other nodes.
    pub links: ClientPool,
    /// The store.
    pub store: S,
    /// Logs changes of state.
    pub log: StateLog,
    /// Where traffic threads read the published snapshot.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Reads what traffic threads counted.
    pub calls: CallCountsReader,
    /// Counts what the process costs.
    pub cost: CostMeter,
}

/// Where a control thread takes its inputs from.
pub struct ControlInputs {
    /// Events of this node; the thread ends when every sender is gone.
    pub inputs: mpsc::Receiver<Event>,
    /// Requests of other nodes.
    pub peers: mpsc::Receiver<IncomingRequest>,
    /// Requests of operators.
    pub operators: mpsc::Receiver<ControlRequest>,
}

/// Where the answer to a request for a report goes.
type ReportSender = oneshot::Sender<Result<TeamReport, OperatorError>>;

/// A request of the control thread that ended.
enum Finished {
    /// An event for the control state.
    Event(Event),
    /// The versions that other nodes hold, for the answer to a query.
    Survey(Query, BTreeMap<NodeId, ConfigVersion>, oneshot::Sender<Answer>),
    /// The hours of a team's report.
    Hours(TeamName, ReportPeriod, StoredHours, ReportSender),
}

impl<S: StoreClient> ControlThread<S> {
    /// Serves `inputs` until every sender of events is gone.
    pub async fn run(parts: ControlParts<S>, mut inputs: ControlInputs) {
        // The control state bounds the number of its requests, and with it this channel.
        let (results, mut finished) = mpsc::unbounded_channel();
        let mut thread = Self::new(parts, results);
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.inputs.recv() => match input {
                    Some(event) => thread.handle(event),
                    None => return,
                },
                Some(request) = inputs.peers.recv() => thread.take_peer_request(request),
                Some(request) = inputs.operators.recv() => thread.take_operator_request(request),
                Some(finished) = finished.recv() => thread.take_finished(finished),
                _ = ticks.tick() => thread.tick(),
            }
        }
    }

    fn new(parts: ControlParts<S>, results: mpsc::UnboundedSender<Finished>) -> Self {
        Self {
            control: parts.control,
            kept: KeptVersions::default(),
            clock: parts.clock,
            rng: SmallRng::from_os_rng(),
            links: Arc::new(parts.links),
            store: parts.store,
            log: parts.log,
            snapshot: parts.snapshot,
            incoming: 0,
            replies: HashMap::new(),
            outcomes: HashMap::new(),
            calls: parts.calls,
            next_count: Instant::default(),
            cost: parts.cost,
            is_reading: false,
            results,
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.next_count {
            self.next_count = now + COUNT_PERIOD;
            self.count();
        }
        self.handle(Event::Tick);
    }

    fn count(&mut self) {
        let counts = self.calls.drain();
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

    fn take_peer_request(&mut self, request: IncomingRequest) {
        let id = self.next_incoming();
        self.replies.insert(id, request.reply);
        self.handle(Event::PeerRequest { id, message: request.message });
    }

    fn take_operator_request(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::Submit(submission, reply) => {
                let id = self.next_incoming();
                self.outcomes.insert(id, reply);
                self.handle(Event::Submit { id, submission: *submission });
            }
            ControlRequest::AskOutcome(write_id, reply) => {
                let id = self.next_incoming();
                self.outcomes.insert(id, reply);
                self.handle(Event::AskOutcome { id, write_id });
            }
            ControlRequest::Query(query @ Query::Nodes { .. }, reply) => self.survey(query, reply),
            ControlRequest::Query(query, reply) => {
                // The operator may have gone meanwhile; the same holds for the other replies.
                let _ = reply.send(self.answer(&query, &BTreeMap::new()));
            }
            ControlRequest::KeptContent(version, reply) => {
                let _ = reply.send(self.kept_content(version));
            }
            ControlRequest::Report(query, reply) => self.read_hours(query, reply),
        }
    }

    fn take_finished(&mut self, finished: Finished) {
        match finished {
            Finished::Event(event) => self.handle(event),
            Finished::Survey(query, versions, reply) => {
                let _ = reply.send(self.answer(&query, &versions));
            }
            Finished::Hours(team, period, hours, reply) => {
                self.is_reading = false;
                let _ = reply.send(self.report(&team, period, &hours));
            }
        }
    }

    /// Reads the hours of a report and then answers it.
    fn read_hours(&mut self, query: ReportQuery, reply: ReportSender) {
        if std::mem::replace(&mut self.is_reading, true) {
            let _ = reply.send(Err(OperatorError::Busy));
            return;
        }
        let data_centres = self.control.peers().map(|peer| peer.data_centre.clone());
        let hours = StoredHours::new(data_centres);
        let period = ReportPeriod::new(query.since, self.clock.wall());
        let keys = period.keys(hours.data_centres());
        let (store, cost, results) = (self.store.clone(), self.cost.clone(), self.results.clone());
        tokio::task::spawn_local(async move {
            let hours = report_reader::read(store, cost, keys, hours).await;
            let _ = results.send(Finished::Hours(query.team, period, hours, reply));
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

    fn next_incoming(&mut self) -> RequestId {
        self.incoming += 1;
        RequestId::new(self.incoming)
    }

    fn handle(&mut self, event: Event) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        for action in self.control.handle(now, wall, event, &mut self.rng) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, to, message, timeout } => self.send(id, to, message, timeout),
            Action::Reply { id, message } => {
                if let Some(reply) = self.replies.remove(&id) {
                    // The peer may have gone meanwhile.
                    let _ = reply.send(message);
                }
            }
            Action::Store { id, request } => {
                let (store, results) = (self.store.clone(), self.results.clone());
                self.cost.count_store_call();
                tokio::task::spawn_local(async move {
                    let reply = store.request(request).await;
                    let _ = results.send(Finished::Event(Event::StoreReply { id, reply }));
                });
            }
            Action::Submitted { id, outcome } => {
                if let Some(submitter) = self.outcomes.remove(&id) {
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
        let (links, results) = (self.links.clone(), self.results.clone());
        tokio::task::spawn_local(async move {
            let limit = Duration::from_millis(timeout.get());
            let reply = links.send(to, &message, limit).await;
            let _ = results.send(Finished::Event(Event::PeerReply { id, reply }));
        });
    }

    /// Asks every node for its version and then answers `query`.
    fn survey(&self, query: Query, reply: oneshot::Sender<Answer>) {
        let own = self.control.status().node;
        let nodes = self.control.peers().filter(|peer| peer.id != own && peer.status.takes_calls());
        let nodes: Vec<(NodeId, SocketAddr)> =
            nodes.map(|peer| (peer.id.clone(), peer.peer_addr)).collect();
        let ping = PeerMessage::Ping(self.control.sync_status());
        let (links, results) = (self.links.clone(), self.results.clone());
        tokio::task::spawn_local(async move {
            let versions = version_survey::ask(&links, ping, nodes).await;
            let _ = results.send(Finished::Survey(query, versions, reply));
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
