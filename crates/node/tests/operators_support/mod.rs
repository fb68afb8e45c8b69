//! Serves the operators' API with a fake control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use almondsail_core::config::{Config, ConfigContent, HistoryEntry};
use almondsail_core::ids::{ConfigVersion, DataCentre, Digest, NodeId, WriteId};
use almondsail_core::operators::{KnownNode, QueryContext};
use almondsail_core::peers::{Peer, PeerStatus};
use almondsail_core::report::{
    Hour, HourKey, HourSums, Minute, NodeMinutes, ReportInput, ReportPeriod, ReportQuery,
    StoredHours, TeamReport,
};
use almondsail_core::store::{Outcome, RefusedChange, Submission};
use almondsail_core::units::UnixMillis;
use almondsail_node::clock::Clock;
use almondsail_node::control::control_request::ControlRequest;
use almondsail_node::http_server;
use almondsail_node::operators::operator_auth::OperatorAuth;
use almondsail_node::operators::operator_control::OperatorControl;
use almondsail_node::operators::operator_error::OperatorError;
use almondsail_node::operators::{ErrorHook, OperatorApi};
use almondsail_node::settings::OperatorToken;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// The token of the operator `ana`, who may change every service.
pub const TOKEN: &str = "token-of-ana";

/// A served operators' API on loopback, which stops when this is dropped.
pub struct OperatorServer {
    pub addr: SocketAddr,
    _stop: watch::Sender<bool>,
}

/// Serves the operators' API and queues up to `queue` requests for the returned receiver.
pub async fn serve(
    queue: usize,
    on_error: ErrorHook,
) -> (OperatorServer, mpsc::Receiver<ControlRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (requests, received) = mpsc::channel(queue);
    let tokens = [("ana", None, TOKEN), ("bo", Some("wellboats"), "token-of-bo")].map(
        |(name, team, token)| OperatorToken {
            name: name.parse().unwrap(),
            team: team.map(|m| m.parse().unwrap()),
            token_sha256: Digest::of(token.as_bytes()),
        },
    );
    let control = OperatorControl::new(requests, Clock::start());
    let api = OperatorApi::new(OperatorAuth::new(tokens.into()), control, on_error);
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(http_server::serve(listener, api.router(), 16, stopped));
    (OperatorServer { addr, _stop: stop }, received)
}

/// Replaces the control thread; keeps the configuration in memory.
#[derive(Default)]
pub struct FakeControl {
    pub config: Option<Arc<Config>>,
}

impl FakeControl {
    /// Answers requests until the server stops.
    pub async fn run(mut self, mut requests: mpsc::Receiver<ControlRequest>) {
        while let Some(request) = requests.recv().await {
            self.answer(request);
        }
    }

    /// Answers a request from the configuration in memory.
    pub fn answer(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::Submit(submission, reply) => {
                let _ = reply.send(self.submit(&submission));
            }
            ControlRequest::QueryOutcome(id, reply) => {
                let _ = reply.send(self.outcome(id));
            }
            ControlRequest::Query(query, reply) => {
                let peer = peer();
                let applied = self.config.as_ref().map(|cfg| cfg.version);
                let context = QueryContext {
                    node: &peer.id,
                    config: self.config.as_ref(),
                    stops: &Default::default(),
                    nodes: &[KnownNode { peer: &peer, applied }],
                };
                let _ = reply.send(context.answer(&query));
            }
            ControlRequest::KeptContent(version, reply) => {
                let cfg = self.config.as_ref().filter(|cfg| cfg.version == version);
                let _ = reply.send(cfg.map(|cfg| cfg.content.clone()));
            }
            ControlRequest::Report(query, reply) => {
                let is_known = query.team.as_str() == "depots";
                let answer = is_known.then(|| report(&query)).ok_or(OperatorError::NoReport);
                let _ = reply.send(answer);
            }
        }
    }

    fn submit(&mut self, submission: &Submission) -> Outcome {
        if let accepted @ Outcome::Accepted(_) = self.outcome(submission.write_id) {
            return accepted;
        }
        let now = UnixMillis::new(1_000);
        let current = self.config.as_deref();
        let empty = ConfigContent::default();
        let content = current.map_or(&empty, |cfg| &cfg.content);
        let content = match submission.change.apply(content, now) {
            Ok(content) => content,
            Err(errors) => return Outcome::Refused(RefusedChange::Invalid(errors)),
        };
        if submission.dry_run {
            return Outcome::WouldAccept(vec![submission.change.to_string()]);
        }
        let entry = HistoryEntry {
            version: Config::next_version(current),
            write_id: submission.write_id,
            at: now,
            service: submission.change.service().cloned(),
            operator: submission.operator.clone(),
            summary: submission.change.to_string().into(),
        };
        let version = entry.version;
        self.config = Some(Arc::new(Config::successor(current, content, entry)));
        Outcome::Accepted(version)
    }

    fn outcome(&self, id: WriteId) -> Outcome {
        let history = self.config.iter().flat_map(|cfg| &cfg.history);
        let found = history.into_iter().find(|entry| entry.write_id == id);
        let newest = self.config.as_ref().map_or(ConfigVersion::default(), |cfg| cfg.version);
        found.map_or(Outcome::NotFound(id, newest), |entry| Outcome::Accepted(entry.version))
    }
}

/// Returns a report over one minute, in which the record of the only node is missing.
fn report(query: &ReportQuery) -> TeamReport {
    let from = Hour::at(query.since);
    let first = from.first();
    let data_centre: DataCentre = "dc-a".parse().unwrap();
    let mut hours = StoredHours::new([data_centre.clone()]);
    let nodes = NodeMinutes { expected: 1, received: 0 };
    let sums = HourSums { minutes: [(first, nodes)].into(), ..HourSums::default() };
    hours.insert(HourKey { data_centre, hour: from }, sums);
    let input = ReportInput {
        period: ReportPeriod { from, to: Minute::new(first.get() + 1) },
        hours: &hours,
        content: &ConfigContent::default(),
    };
    TeamReport::new(&query.team, input)
}

fn peer() -> Peer {
    let id: NodeId = "n1".parse().unwrap();
    Peer {
        id,
        host: "h1".parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
        region: "south".parse().unwrap(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        inbound_addr: "127.0.0.1:2".parse().unwrap(),
        incarnation: Default::default(),
        status: PeerStatus::Alive,
        backend: None,
    }
}
