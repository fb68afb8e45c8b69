//! Evacuation orders in the state of one node, and in a simulated fleet.

mod fleet_common;

use std::collections::BTreeSet;

use almondsail_core::fleet::{
    Announcement, ColdLimit, ConfigText, Endpoint, EvacuationDigest, EvacuationNotice,
    EvacuationOutcome, Evacuations, FleetAction, FleetEvent, Heartbeat, ItemChange, KeySpace,
    MeshConfigBuilder, Registration, ServiceSettings, StoreItem, StoreKey, StoreReply,
    StoreRequest, StoredValue, TrafficRamp,
};
use almondsail_core::ids::{ConfigVersion, DataCentre};
use almondsail_core::store::{Revision, StoreEra, StorePosition};
use almondsail_core::units::{CallRate, Millis, PerMille};
use almondsail_seeded::{properties, seeds};
use fleet_common::node::{Node, config_item, heartbeat_with_backend};
use fleet_common::simulated_fleet::{FleetShape, SimulatedFleet};
use fleet_common::{announcement, at, entry, heartbeat, route};
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom as _, SliceRandom as _};
use rand::{Rng as _, SeedableRng as _};

fn notice(data_centre: &str, is_ordered: bool, revision: u64) -> EvacuationNotice {
    let position = StorePosition::new(StoreEra::default(), Revision::new(revision));
    EvacuationNotice { data_centre: data_centre.parse().unwrap(), is_ordered, position }
}

fn told(notice: EvacuationNotice) -> Option<Box<EvacuationDigest>> {
    Some(Box::new(EvacuationDigest { notices: vec![notice] }))
}

fn order_item(data_centre: &str, revision: u64, value: StoredValue) -> StoreItem {
    let key = StoreKey::Evacuation(data_centre.parse().unwrap());
    StoreItem { key, revision: Revision::new(revision), value }
}

/// Lets the watch of `node` report that an order was removed.
fn report_removed(node: &mut Node, data_centre: &str, revision: u64) {
    let (key, revision) =
        (StoreKey::Evacuation(data_centre.parse().unwrap()), Revision::new(revision));
    let reply = StoreReply::Changes(vec![ItemChange::Removed(key, revision)], revision);
    node.reply(|r| matches!(r, StoreRequest::Watch(KeySpace::Operator, ..)), Ok(reply));
}

properties! {
    /// Guards against nodes that disagree after notices were lost, repeated and reordered, and after
    /// restarts: whatever each one heard, they agree once they have told each other.
    fn record_any_order(changes: Vec<bool>, seed: u64) -> bool {
        let names = ["dc-a", "dc-b", "dc-c"];
        let notices: Vec<EvacuationNotice> = (1..)
            .zip(&changes)
            .map(|(revision, is_ordered)| {
                notice(names[usize::try_from(revision).unwrap() % 3], *is_ordered, revision)
            })
            .collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut nodes: Vec<Evacuations> = vec![Evacuations::default(); 3];
        for notice in &notices {
            // At least one node gets each notice from the store.
            let first = rng.random_range(0..nodes.len());
            nodes[first].record(at(1), notice, false);
        }
        for _ in 0..4 {
            let from = rng.random_range(0..nodes.len());
            let mut told = nodes[from].digest().unwrap_or_default().notices;
            told.extend(notices.iter().filter(|_| rng.random_bool(0.3)).cloned());
            told.shuffle(&mut rng);
            let to = rng.random_range(0..nodes.len());
            for notice in &told {
                nodes[to].record(at(2), notice, false);
            }
        }
        let all: Vec<EvacuationNotice> = nodes
            .iter()
            .filter_map(Evacuations::digest)
            .flat_map(|digest| digest.notices)
            .collect();
        // A node that has just started hears of everything from the others.
        nodes.push(Evacuations::default());
        for node in &mut nodes {
            for notice in &all {
                node.record(at(3), notice, true);
            }
        }
        let last = |name: &str| {
            let mut of_name = notices.iter().filter(|notice| notice.data_centre.as_str() == name);
            of_name.next_back().is_some_and(|notice| notice.is_ordered)
        };
        nodes.iter().all(|node| {
            names.iter().all(|name| node.is_ordered(&name.parse().unwrap()) == last(name))
        })
    }

    /// Guards against shares that jump, or that have not arrived after the time of a ramp.
    fn ramp_any_changes(changes: Vec<(u16, bool)>) -> bool {
        let mut ramp = TrafficRamp::OPEN;
        let mut now = at(0);
        for (delay, closes) in changes {
            now = now + Millis::new(u64::from(delay) % 3_000);
            let before = ramp.share(now);
            ramp = if closes { ramp.close(now) } else { ramp.open(now) };
            let end = now + TrafficRamp::DURATION;
            let is_moved = ramp.is_closed(end) == closes;
            if ramp.share(now) != before || !is_moved {
                return false;
            }
        }
        true
    }
}

/// Guards against memory that grows with made-up names, and a real order that finds no room.
#[test]
fn record_too_many() {
    let mut evacuations = Evacuations::default();
    for n in 0..Evacuations::MAX_KNOWN as u64 {
        evacuations.record(at(0), &notice(&format!("dc-{n}"), n > 0, n + 1), false);
    }
    let more = |name| notice(name, true, 1_000);
    assert_eq!(evacuations.record(at(0), &more("dc-x"), false), EvacuationOutcome::Changed);
    assert_eq!(evacuations.record(at(0), &more("dc-y"), false), EvacuationOutcome::TooMany);
}

/// Returns the changes of a kind that `node` has reported.
fn reported(node: &Node, kind: &str) -> usize {
    let is_kind = |action: &&FleetAction| matches!(action, FleetAction::Report(change) if change.kind() == kind);
    node.actions.iter().filter(is_kind).count()
}

fn bays(node: &Node, name: &str) -> Endpoint {
    let view = node.control.view(node.now);
    let is_named = |endpoint: &&Endpoint| endpoint.node.as_str() == name;
    view.services["bays"].endpoints.iter().find(is_named).unwrap().clone()
}

fn share(node: &Node, name: &str) -> PerMille {
    bays(node, name).ramp.share(node.now)
}

/// Returns a node that is ready and knows the node `n2` in `dc-b` with a backend server.
fn ready_node(items: Vec<StoreItem>) -> Node {
    let mut node = Node::started([vec![config_item(1, 50)], items].concat());
    node.event(FleetEvent::Heartbeat(Heartbeat {
        entry: entry(2, "dc-b"),
        ..heartbeat_with_backend(2, 1, "i-2", "v1")
    }));
    node
}

/// Guards against orders and withdrawals in the store that are not followed.
#[test]
fn order_of_the_store() {
    let mut node = ready_node(Vec::new());
    node.report_change(KeySpace::Operator, order_item("dc-b", 120, StoredValue::Evacuation));
    assert_eq!(share(&node, "n2"), PerMille::MAX);
    node.advance(2_000);
    assert_eq!(share(&node, "n2"), PerMille::ZERO);
    report_removed(&mut node, "dc-b", 130);
    node.advance(2_000);
    assert_eq!(share(&node, "n2"), PerMille::MAX);
    assert_eq!(reported(&node, "evacuation"), 2);
}

/// Guards against calls of a node that has just started to a data centre that was evacuated long
/// ago.
#[test]
fn order_before_start() {
    let node = ready_node(vec![order_item("dc-b", 60, StoredValue::Evacuation)]);
    assert_eq!(share(&node, "n2"), PerMille::ZERO);
}

/// Guards against an order of which a node knows from others only, that a listing without it does
/// not withdraw, and against one that others still tell of after that.
#[test]
fn order_missing_in_listing() {
    let mut node = Node::start();
    let evacuations = told(notice("dc-b", true, 60));
    let order = Heartbeat { evacuations, ..heartbeat(3, 1) };
    node.event(FleetEvent::Heartbeat(order.clone()));
    let data_centre = "dc-b".parse().unwrap();
    assert!(node.control.evacuations().is_ordered(&data_centre));
    node.list(KeySpace::Operator, vec![config_item(1, 50)]);
    assert!(!node.control.evacuations().is_ordered(&data_centre));
    node.event(FleetEvent::Heartbeat(Heartbeat { sequence: 2, ..order.clone() }));
    assert!(!node.control.evacuations().is_ordered(&data_centre));
    let mut fresh = ready_node(Vec::new());
    fresh.event(FleetEvent::Heartbeat(order));
    assert!(!fresh.control.evacuations().is_ordered(&data_centre));
}

/// Guards against a withdrawal that is lost because the node knows of the order from others only.
#[test]
fn withdrawal_after_order_of_others() {
    let mut node = ready_node(Vec::new());
    let evacuations = told(notice("dc-b", true, 120));
    node.event(FleetEvent::Heartbeat(Heartbeat { evacuations, ..heartbeat(3, 1) }));
    let data_centre: DataCentre = "dc-b".parse().unwrap();
    assert!(node.control.evacuations().is_ordered(&data_centre));
    report_removed(&mut node, "dc-b", 130);
    assert!(!node.control.evacuations().is_ordered(&data_centre));
}

/// Guards against a withdrawal that is forgotten because the node never knew of the order, which a
/// node that stood still tells of later.
#[test]
fn withdrawal_before_order_of_others() {
    let mut node = ready_node(Vec::new());
    report_removed(&mut node, "dc-b", 130);
    let evacuations = told(notice("dc-b", true, 120));
    node.event(FleetEvent::Heartbeat(Heartbeat { evacuations, ..heartbeat(3, 1) }));
    assert!(!node.control.evacuations().is_ordered(&"dc-b".parse().unwrap()));
}

/// Guards against a node that starts after a restoration of the store and takes changes of its era
/// for older than those that others tell of.
#[test]
fn withdrawal_in_later_era() {
    let mut node = Node::start();
    node.era = StoreEra::new(3);
    node.list(KeySpace::Operator, vec![config_item(1, 50)]);
    let mut order = notice("dc-b", true, 120);
    order.position.era = node.era;
    let evacuations = told(order);
    node.event(FleetEvent::Heartbeat(Heartbeat { evacuations, ..heartbeat(3, 1) }));
    let data_centre: DataCentre = "dc-b".parse().unwrap();
    assert!(node.control.evacuations().is_ordered(&data_centre));
    report_removed(&mut node, "dc-b", 130);
    assert!(!node.control.evacuations().is_ordered(&data_centre));
}

/// Guards against an unreadable value that counts as an order, or ends one.
#[test]
fn order_unreadable() {
    let unreadable = || StoredValue::Unreadable("no object".into());
    let mut node = ready_node(vec![
        order_item("dc-a", 60, unreadable()),
        order_item("dc-b", 61, StoredValue::Evacuation),
    ]);
    assert_eq!(reported(&node, "item_unreadable"), 1);
    node.report_change(KeySpace::Operator, order_item("dc-b", 120, unreadable()));
    assert_eq!(reported(&node, "item_unreadable"), 2);
    assert!(!node.control.evacuations().is_ordered(&"dc-a".parse().unwrap()));
    assert_eq!(share(&node, "n2"), PerMille::ZERO);
}

/// Guards against an order for a data centre without nodes that nobody is told of, or that affects
/// others.
#[test]
fn order_unknown_data_centre() {
    let mut node = ready_node(vec![order_item("dc-z", 60, StoredValue::Evacuation)]);
    node.advance(5_000);
    assert_eq!(reported(&node, "evacuation_without_nodes"), 1);
    assert_eq!(share(&node, "n2"), PerMille::MAX);
}

/// Returns a configuration whose service has a limit on cold servers.
fn limited_config() -> StoreItem {
    let rate = CallRate::from_milli(6_400);
    let cold_limit = Some(ColdLimit { rate, duration: Millis::new(3_000) });
    let settings = ServiceSettings { connections: 130, cold_limit, health_path: None };
    let config = MeshConfigBuilder::new(ConfigVersion::new(1))
        .service("bays".parse().unwrap(), settings)
        .route(route("r1", "/x/", "bays"))
        .build()
        .unwrap();
    let compressed = b"version 1".to_vec().into();
    let text = ConfigText { config: config.into(), compressed, unknown_kinds: Vec::new() };
    StoreItem {
        key: StoreKey::Config,
        revision: Revision::new(50),
        value: StoredValue::Config(Ok(text)),
    }
}

fn is_cold(node: &Node) -> bool {
    node.control.view(node.now).backend.unwrap().is_cold
}

/// Guards against a full load on servers after an evacuation, when most of them are cold, and on a
/// server that may have restarted; and against a limit that no announcement lifts.
#[test]
fn warmth_unknown() {
    let mut node = Node::started(vec![limited_config()]);
    node.event(FleetEvent::Announced(announcement("i-1", 5, 1)));
    assert!(!is_cold(&node));
    node.report_change(KeySpace::Operator, order_item("dc-a", 120, StoredValue::Evacuation));
    node.advance(2_000);
    assert!(node.control.view(node.now).ramp.is_closed(node.now));
    node.event(FleetEvent::Announced(announcement("i-1", 5, 2)));
    report_removed(&mut node, "dc-a", 130);
    assert!(is_cold(&node));
    node.advance(300);
    node.event(FleetEvent::Announced(announcement("i-1", 5, 3)));
    assert!(!is_cold(&node));
    node.event(FleetEvent::BackendDoubted(node.now));
    node.event(FleetEvent::Announced(announcement("i-1", 5, 4)));
    assert!(is_cold(&node));
    node.advance(300);
    node.event(FleetEvent::Announced(announcement("i-1", 5, 5)));
    assert!(!is_cold(&node));
    assert_eq!(reported(&node, "backend_cold"), 4);
}

/// Guards against any effect of a doubt on services without a limit on cold servers.
#[test]
fn warmth_doubted_without_limit() {
    let mut node = Node::started(vec![config_item(1, 50)]);
    node.event(FleetEvent::Announced(announcement("i-1", 5, 1)));
    node.event(FleetEvent::BackendDoubted(node.now));
    assert!(!is_cold(&node));
    assert_eq!(bays(&node, "n1").cold_rate, None);
}

/// Guards against a cold time beyond a day that nobody is told of.
#[test]
fn announced_cold_beyond_a_day() {
    let mut node = Node::started(vec![limited_config()]);
    let cold = Millis::new(2 * Registration::MAX_COLD_TIME.get());
    node.event(FleetEvent::Announced(Announcement { cold, ..announcement("i-1", 5, 1) }));
    assert_eq!(reported(&node, "cold_time_too_long"), 1);
    assert!(is_cold(&node));
}

/// Time within which every node knows of a change, also one that the store does not answer.
const KNOWN_LIMIT: u64 = 2_000;
/// When all nodes know each other.
const SETTLED: u64 = 5_000;
const NODES: u16 = 61;

fn fleet(seed: u64) -> SimulatedFleet {
    SimulatedFleet::start_shaped(FleetShape::new(NODES, 4), seed)
}

/// Runs `fleet` until `ms` after the start and checks which nodes know of an order then.
fn check_known(fleet: &mut SimulatedFleet, ms: u64, data_centre: &str, is_ordered: bool) {
    fleet.run(at(ms), |_, _| {});
    let wrong = fleet.nodes_without(data_centre, is_ordered);
    assert!(wrong.is_empty(), "at {ms}, {data_centre} {is_ordered}: {wrong:?}");
}

/// Guards against nodes that do not learn of an order or a withdrawal because the store is silent to
/// most nodes, among them the leader. The leader's data centre is evacuated.
#[test]
fn simulated_order_silent_to_most() {
    for seed in seeds(10) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = fleet(seed);
        let others = (1..usize::from(NODES)).choose_multiple(&mut rng, 54);
        fleet.store.silent_nodes = others.into_iter().chain([0]).collect();
        let start = rng.random_range(SETTLED..SETTLED + 16_000);
        fleet.store.silences = vec![at(start)..at(start + 12_000)];
        let order = start + rng.random_range(0..2_500);
        let withdrawal = order + rng.random_range(3_000..6_000);
        fleet.put_evacuation_at(at(order), "dc-1", true);
        fleet.put_evacuation_at(at(withdrawal), "dc-1", false);
        check_known(&mut fleet, order + KNOWN_LIMIT, "dc-1", true);
        check_known(&mut fleet, withdrawal + KNOWN_LIMIT, "dc-1", false);
    }
}

/// Guards against orders that affect each other, or that nodes forget which restart meanwhile, while
/// the store does not answer.
#[test]
fn simulated_two_orders_with_restarts() {
    for seed in seeds(5) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = fleet(seed);
        fleet.put_evacuation_at(at(SETTLED), "dc-2", true);
        fleet.put_evacuation_at(at(SETTLED + 100), "dc-3", true);
        fleet.store.silences = vec![at(SETTLED + 3_000)..at(SETTLED + 9_000)];
        let mut restarted = BTreeSet::new();
        for node in (0..usize::from(NODES)).choose_multiple(&mut rng, 30) {
            fleet.restart_at(at(SETTLED + 3_500 + rng.random_range(0..2_000)), node);
            restarted.insert(node);
        }
        fleet.put_evacuation_at(at(SETTLED + 11_000), "dc-2", false);
        for ms in (SETTLED + 2_500..SETTLED + 11_000).step_by(100) {
            fleet.run(at(ms), |_, _| {});
            for node in 0..usize::from(NODES) {
                let (control, now) = fleet.node(node);
                let is_known = |name: &str| {
                    control.evacuations().ramp(&name.parse().unwrap()).share(now) < PerMille::MAX
                };
                let serves = control.view(now).config.is_some();
                assert!(!serves || is_known("dc-2") && is_known("dc-3"), "{node} at {ms}");
            }
        }
        check_known(&mut fleet, SETTLED + 13_500, "dc-2", false);
        check_known(&mut fleet, SETTLED + 13_500, "dc-3", true);
    }
}

/// Guards against heartbeats that change in a fleet without orders.
#[test]
fn heartbeat_without_orders() {
    let mut node = ready_node(Vec::new());
    node.advance(2_000);
    let has_orders = |action: &FleetAction| matches!(action, FleetAction::Heartbeat(heartbeat, _) if heartbeat.evacuations.is_some());
    assert!(!node.actions.iter().any(has_orders));
}
