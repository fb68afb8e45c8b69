//! A node whose store the test plays, and items of that store.

use almondsail_core::fleet::{
    FleetAction, FleetControl, FleetEvent, Heartbeat, ItemChange, KeySpace, RolloutEvidence,
    RolloutOrder, RolloutProgress, RolloutReport, StoreFailure, StoreItem, StoreKey, StoreReply,
    StoreRequest, StoreResponse, StoreWrite, StoredValue,
};
use almondsail_core::store::{Revision, StoreEra, StorePosition};
use almondsail_core::units::{Instant, Millis, UnixMillis};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::{at, backend, config, heartbeat, identity};

/// A node whose store replies as the test decides.
pub struct Node {
    pub control: FleetControl,
    pub rng: SmallRng,
    pub now: Instant,
    /// The era that the store names in its answers.
    pub era: StoreEra,
    /// The requests that wait for a reply.
    pub open_requests: Vec<(u64, StoreRequest)>,
    pub actions: Vec<FleetAction>,
}

impl Node {
    pub fn start() -> Self {
        let control = FleetControl::new(identity(), at(0));
        let rng = SmallRng::seed_from_u64(1);
        let mut node = Self {
            control,
            rng,
            now: at(0),
            era: StoreEra::default(),
            open_requests: Vec::new(),
            actions: Vec::new(),
        };
        node.event(FleetEvent::Tick);
        node
    }

    /// Starts a node for which the store lists `items`.
    pub fn started(items: Vec<StoreItem>) -> Self {
        let mut node = Self::start();
        node.list(KeySpace::Operator, items);
        node.list(KeySpace::Nodes, Vec::new());
        node
    }

    pub fn event(&mut self, event: FleetEvent) {
        let wall = UnixMillis::new(1_000_000 + self.now.get() / 1_000);
        for action in self.control.handle(self.now, wall, event, &mut self.rng) {
            match &action {
                FleetAction::Store { id, request } => {
                    self.open_requests.push((*id, request.clone()));
                }
                FleetAction::CancelStore(id) => self.open_requests.retain(|(open, _)| open != id),
                _ => {}
            }
            self.actions.push(action);
        }
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(100) {
            self.now = self.now + Millis::new(100.min(ms));
            self.event(FleetEvent::Tick);
        }
    }

    pub fn reply(
        &mut self,
        wanted: impl Fn(&StoreRequest) -> bool,
        reply: Result<StoreReply, StoreFailure>,
    ) {
        let found = self.open_requests.iter().position(|(_, request)| wanted(request));
        let (id, _) = self.open_requests.remove(found.expect("no such request"));
        let response = match reply {
            Err(StoreFailure::Unanswered) => StoreResponse::failed(StoreFailure::Unanswered),
            reply => StoreResponse::new(self.era, reply),
        };
        self.event(FleetEvent::Store { id, response });
    }

    pub fn list(&mut self, space: KeySpace, items: Vec<StoreItem>) {
        self.list_as_of(space, items, 100);
    }

    pub fn list_as_of(&mut self, space: KeySpace, items: Vec<StoreItem>, as_of: u64) {
        let reply = StoreReply::Items { items, next: None, as_of: Revision::new(as_of) };
        self.reply(|request| *request == StoreRequest::List(space, None), Ok(reply));
    }

    pub fn report_change(&mut self, space: KeySpace, item: StoreItem) {
        let revision = item.revision;
        let reply = StoreReply::Changes(vec![ItemChange::Put(item)], revision);
        self.reply(|r| matches!(r, StoreRequest::Watch(s, ..) if *s == space), Ok(reply));
    }

    pub fn version(&self) -> u64 {
        self.control.view(self.now).config.map_or(0, |config| config.version.get())
    }

    pub fn writes(&self) -> Vec<RolloutProgress> {
        let write = |(_, request): &(u64, StoreRequest)| match request {
            StoreRequest::Write(StoreWrite::Progress(progress, _)) => Some(progress.clone()),
            _ => None,
        };
        self.open_requests.iter().filter_map(write).collect()
    }
}

pub fn config_item(version: u64, revision: u64) -> StoreItem {
    let value = StoredValue::Config(Ok(config(version)));
    StoreItem { key: StoreKey::Config, revision: Revision::new(revision), value }
}

/// Returns the order to move `bays` to `v2`, as the store holds it before any restoration.
pub fn order_item(revision: u64) -> StoreItem {
    order_item_in(StoreEra::default(), revision, "v2")
}

/// Returns the order to move `bays` to `target`, as the store holds it in `era`.
pub fn order_item_in(era: StoreEra, revision: u64, target: &str) -> StoreItem {
    let revision = Revision::new(revision);
    let order = RolloutOrder {
        service: "bays".parse().unwrap(),
        target: target.parse().unwrap(),
        duration: Millis::new(15_000),
        position: StorePosition::new(era, revision),
    };
    let key = StoreKey::Order(order.service.clone());
    StoreItem { key, revision, value: StoredValue::Order(order) }
}

pub fn heartbeat_with_backend(n: u16, sequence: u64, id: &str, version: &str) -> Heartbeat {
    Heartbeat { backend: Some(backend(id, version)), ..heartbeat(n, sequence) }
}

/// Starts a node with the order of a rollout from v1 (node 2) to v2 (node 3).
pub fn node_in_rollout() -> Node {
    let mut node = Node::started(vec![config_item(5, 50), order_item(60)]);
    node.event(FleetEvent::Heartbeat(heartbeat_with_backend(2, 1, "i-2", "v1")));
    node.event(FleetEvent::Heartbeat(heartbeat_with_backend(3, 1, "i-3", "v2")));
    node
}

pub fn report(evidence: Option<RolloutEvidence>, is_stopped: bool) -> RolloutReport {
    RolloutReport {
        service: "bays".parse().unwrap(),
        target: "v2".parse().unwrap(),
        order: Revision::new(60),
        order_era: Some(StoreEra::default()),
        duration: Millis::new(15_000),
        elapsed: Millis::new(0),
        is_stopped,
        outcome: None,
        evidence,
    }
}
