//! The thread that owns the control state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use almondsail_core::control::{Action, Control, Event, PeerMessage, RequestId};
use almondsail_core::store::Outcome;
use almondsail_core::traffic::Snapshot;
use almondsail_core::units::Millis;
use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::control_input::ControlInput;
use crate::peer_link::{ClientPool, IncomingRequest};
use crate::state_log::StateLog;
use crate::store_client::StoreClient;

/// Longest time between two events of the control state.
const TICK: Duration = Duration::from_millis(100);

/// Owns the control state, feeds it events and carries out its actions.
///
/// Runs on a runtime of its own with a single thread.
pub struct ControlThread<S> {
    control: Control,
    clock: Clock,
    rng: SmallRng,
    links: Arc<ClientPool>,
    store: S,
    log: StateLog,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// Number of requests that came from outside; the last one's id.
    incoming: u64,
    /// Peers that wait for a reply.
    replies: HashMap<RequestId, oneshot::Sender<PeerMessage>>,
    /// Submitters that wait for an outcome.
    outcomes: HashMap<RequestId, oneshot::Sender<Outcome>>,
    /// Takes the results of requests that this thread sent.
    results: mpsc::UnboundedSender<Event>,
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
}

impl<S: StoreClient> ControlThread<S> {
    /// Serves `inputs` and `incoming` until every sender of `inputs` is gone.
    pub async fn run(
        parts: ControlParts<S>,
        mut inputs: mpsc::Receiver<ControlInput>,
        mut incoming: mpsc::Receiver<IncomingRequest>,
    ) {
        // The control state bounds the number of its requests, and with it this channel.
        let (results, mut finished) = mpsc::unbounded_channel();
        let mut thread = Self {
            control: parts.control,
            clock: parts.clock,
            rng: SmallRng::from_os_rng(),
            links: Arc::new(parts.links),
            store: parts.store,
            log: parts.log,
            snapshot: parts.snapshot,
            incoming: 0,
            replies: HashMap::new(),
            outcomes: HashMap::new(),
            results,
        };
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => thread.take(input),
                    None => return,
                },
                Some(request) = incoming.recv() => thread.take_request(request),
                Some(event) = finished.recv() => thread.handle(event),
                _ = ticks.tick() => thread.handle(Event::Tick),
            }
        }
    }

    fn take(&mut self, input: ControlInput) {
        match input {
            ControlInput::Event(event) => self.handle(event),
        }
    }

    fn take_request(&mut self, request: IncomingRequest) {
        let id = self.next_incoming();
        self.replies.insert(id, request.reply);
        self.handle(Event::PeerRequest { id, message: request.message });
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
                tokio::task::spawn_local(async move {
                    let reply = store.request(request).await;
                    let _ = results.send(Event::StoreReply { id, reply });
                });
            }
            Action::Submitted { id, outcome } => {
                if let Some(submitter) = self.outcomes.remove(&id) {
                    // The operator may have gone meanwhile.
                    let _ = submitter.send(outcome);
                }
            }
            Action::Publish => self.snapshot.store(Arc::new(self.control.snapshot())),
            Action::Report(change) => self.log.report(&change),
        }
    }

    fn send(&self, id: RequestId, to: std::net::SocketAddr, message: PeerMessage, timeout: Millis) {
        let (links, results) = (self.links.clone(), self.results.clone());
        tokio::task::spawn_local(async move {
            let limit = Duration::from_millis(timeout.get());
            let reply = links.send(to, &message, limit).await;
            let _ = results.send(Event::PeerReply { id, reply });
        });
    }
}
