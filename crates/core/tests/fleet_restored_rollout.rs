//! Rollouts of a node whose store is restored from an earlier copy.

mod fleet_common;

use almondsail_core::fleet::{
    FleetAction, FleetEvent, Heartbeat, KeySpace, RolloutOutcome, RolloutProgress, RolloutReport,
    StoreFailure, StoreItem, StoreKey, StoreReply, StoreRequest, StoreWrite, StoredValue,
    VersionRule,
};
use almondsail_core::store::{Revision, StoreEra, StorePosition};
use almondsail_core::units::{Millis, UnixMillis};
use fleet_common::heartbeat;
use fleet_common::node::{
    Node, config_item, heartbeat_with_backend, node_in_rollout, order_item, order_item_in, report,
};

const RESTORED: StoreEra = StoreEra::new(1);

fn is_progress(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Write(StoreWrite::Progress(..)))
}

/// Returns the outcomes and the expected revisions of the open writes of progress.
fn writes(node: &Node) -> Vec<(Option<RolloutOutcome>, Option<Revision>)> {
    let write = |(_, request): &(u64, StoreRequest)| match request {
        StoreRequest::Write(StoreWrite::Progress(progress, revision)) => {
            Some((progress.outcome, *revision))
        }
        _ => None,
    };
    node.open_requests.iter().filter_map(write).collect()
}

/// Returns the number of rollouts that the node has reported as ordered.
fn started_rollouts(node: &Node) -> usize {
    let is_order = |action: &&FleetAction| matches!(action, FleetAction::Report(change) if change.kind() == "rollout_ordered");
    node.actions.iter().filter(is_order).count()
}

fn rule(node: &Node) -> VersionRule {
    node.control.view(node.now).services["bays"].rule.clone()
}

fn target(rule: &VersionRule) -> Option<&str> {
    match rule {
        VersionRule::Shift(shift) => Some(shift.target.as_str()),
        _ => None,
    }
}

fn only(version: &str) -> VersionRule {
    VersionRule::Only(version.parse().unwrap())
}

/// The progress of the rollout to v2, as the store holds it at `revision`.
fn progress_item(revision: u64, outcome: Option<RolloutOutcome>) -> StoreItem {
    let progress = RolloutProgress {
        service: "bays".parse().unwrap(),
        target: "v2".parse().unwrap(),
        order: StorePosition::new(StoreEra::default(), Revision::new(60)),
        duration: Millis::new(15_000),
        started: UnixMillis::new(1_000_000),
        outcome,
    };
    let key = StoreKey::Progress(progress.service.clone());
    let revision = Revision::new(revision);
    StoreItem { key, revision, value: StoredValue::Progress(progress) }
}

/// Starts a node at which a rollout of `bays` to v2 has completed.
fn node_after_rollout() -> Node {
    let mut node = node_in_rollout();
    let completed = Some(RolloutOutcome::Completed);
    node.reply(is_progress, Ok(StoreReply::Written(Revision::new(105))));
    node.report_change(KeySpace::Nodes, progress_item(120, completed));
    assert_eq!(rule(&node), only("v2"));
    node
}

/// Lets time pass, in which the node beside the server of v2 sends heartbeats.
fn advance_with_heartbeats(node: &mut Node, ms: u64) {
    for _ in 0..ms / 500 {
        node.advance(500);
        let sequence = node.now.get();
        node.event(FleetEvent::Heartbeat(heartbeat_with_backend(3, sequence, "i-3", "v2")));
    }
}

/// Restores the store, whose copy holds the given orders and progress.
fn restore(node: &mut Node, operator: Vec<StoreItem>, nodes: Vec<StoreItem>) {
    begin_restoration(node);
    let configured = [config_item(5, 50)].into_iter().chain(operator).collect();
    node.list_as_of(KeySpace::Operator, configured, 61);
    node.list_as_of(KeySpace::Nodes, nodes, 61);
}

fn begin_restoration(node: &mut Node) {
    node.advance(200);
    node.era = RESTORED;
    let is_watch = |r: &StoreRequest| matches!(r, StoreRequest::Watch(KeySpace::Operator, ..));
    node.reply(is_watch, Err(StoreFailure::HistoryLost));
    // Replies to requests of the earlier era don't come.
    let is_listing = |request: &StoreRequest| matches!(request, StoreRequest::List(..));
    node.open_requests.retain(|(_, request)| is_listing(request));
}

/// Guards against a rollout that has ended and starts anew because its order is found or written at
/// a position of a later era.
#[test]
fn order_written_again_after_end() {
    for copy in [vec![order_item_in(RESTORED, 60, "v2")], Vec::new()] {
        let mut node = node_after_rollout();
        restore(&mut node, copy, Vec::new());
        assert_eq!(rule(&node), only("v2"));
        for revision in [66, 70] {
            node.advance(200);
            let again = order_item_in(RESTORED, revision, "v2");
            node.report_change(KeySpace::Operator, again);
            assert_eq!(rule(&node), only("v2"));
        }
        assert_eq!(started_rollouts(&node), 1);
    }
}

/// Guards against a rollout that starts from the beginning because its order was written again.
#[test]
fn order_written_again_under_way() {
    let mut node = node_in_rollout();
    node.reply(is_progress, Ok(StoreReply::Written(Revision::new(105))));
    advance_with_heartbeats(&mut node, 9_000);
    restore(&mut node, Vec::new(), Vec::new());
    node.advance(200);
    node.report_change(KeySpace::Operator, order_item_in(RESTORED, 66, "v2"));
    assert_eq!(started_rollouts(&node), 1);
    node.reply(is_progress, Ok(StoreReply::Written(Revision::new(67))));
    advance_with_heartbeats(&mut node, 4_500);
    let completed = (Some(RolloutOutcome::Completed), Some(Revision::new(67)));
    assert_eq!(writes(&node), [completed]);
}

/// Guards against an order that the copy still holds and that replaces the one that followed it.
#[test]
fn older_order_in_copy() {
    let mut node = node_after_rollout();
    node.report_change(KeySpace::Operator, order_item_in(StoreEra::default(), 130, "v3"));
    assert_eq!(target(&rule(&node)), Some("v3"));
    restore(&mut node, vec![order_item_in(RESTORED, 60, "v2")], Vec::new());
    assert_eq!(target(&rule(&node)), Some("v3"));
    node.advance(200);
    node.report_change(KeySpace::Operator, order_item_in(RESTORED, 66, "v3"));
    assert_eq!(started_rollouts(&node), 2);
}

/// Guards against a new order that is taken for an earlier one: its revision is lower, or it names
/// a version that was the target before.
#[test]
fn new_order_after_restoration() {
    let mut node = node_after_rollout();
    restore(&mut node, vec![order_item_in(RESTORED, 60, "v2")], Vec::new());
    for (revision, version) in [(64, "v3"), (66, "v2"), (68, "v3")] {
        node.advance(200);
        node.report_change(KeySpace::Operator, order_item_in(RESTORED, revision, version));
        assert_eq!(target(&rule(&node)), Some(version), "ordered at {revision}");
    }
}

/// Guards against a status that the operator never finds again, because the rollout has ended and
/// the restored store lacks its end.
#[test]
fn outcome_written_again() {
    let copies = [(Vec::new(), None), (vec![progress_item(58, None)], Some(Revision::new(58)))];
    for (copy, expected) in copies {
        let mut node = node_after_rollout();
        restore(&mut node, Vec::new(), copy);
        // Nodes 2 and 3 follow this one, which writes first.
        assert_eq!(writes(&node), [(Some(RolloutOutcome::Completed), expected)]);
        node.reply(is_progress, Ok(StoreReply::Written(Revision::new(63))));
        node.advance(1_000);
        assert_eq!(writes(&node), [], "written once");
    }
}

/// Guards against a repeated write of an end that the copy holds.
#[test]
fn outcome_in_copy() {
    let mut node = node_after_rollout();
    let copy = vec![progress_item(58, Some(RolloutOutcome::Completed))];
    restore(&mut node, Vec::new(), copy);
    node.advance(1_000);
    assert_eq!(writes(&node), []);
}

/// Guards against a conditional write that names a revision of the earlier era, which may stand for
/// something else, and against a write before the restored store was read.
#[test]
fn progress_expects_revision_of_era() {
    let mut node = node_in_rollout();
    node.reply(is_progress, Ok(StoreReply::Written(Revision::new(105))));
    begin_restoration(&mut node);
    node.advance(1_000);
    assert_eq!(writes(&node), []);
    node.list_as_of(KeySpace::Nodes, vec![progress_item(58, None)], 61);
    node.advance(1_000);
    assert_eq!(writes(&node), [], "the copy holds the start");
    advance_with_heartbeats(&mut node, 11_500);
    let completed = (Some(RolloutOutcome::Completed), Some(Revision::new(58)));
    assert_eq!(writes(&node), [completed]);
}

/// Guards against nodes that know an order from before and from after a restoration, and take each
/// other's reports for those on another order.
#[test]
fn report_from_other_era() {
    let ended = |revision: u64, era: Option<StoreEra>| RolloutReport {
        order: Revision::new(revision),
        order_era: era,
        outcome: Some(RolloutOutcome::Completed),
        ..report(None, false)
    };
    let reports = |sequence: u64, report: RolloutReport| {
        let heartbeat = heartbeat_with_backend(3, sequence, "i-3", "v2");
        FleetEvent::Heartbeat(Heartbeat { rollouts: vec![report], ..heartbeat })
    };
    // This node started after the restoration, the other one before.
    let mut node = Node::start();
    node.era = RESTORED;
    node.list(KeySpace::Operator, vec![config_item(5, 50), order_item_in(RESTORED, 66, "v2")]);
    node.list(KeySpace::Nodes, Vec::new());
    node.event(reports(1, ended(60, Some(StoreEra::default()))));
    assert_eq!(rule(&node), only("v2"));
    // The other node started after the restoration, or is of a build that doesn't name the era.
    for era in [Some(RESTORED), None] {
        let mut node = node_in_rollout();
        restore(&mut node, Vec::new(), Vec::new());
        node.event(reports(2, ended(66, era)));
        assert_eq!(rule(&node), only("v2"));
        assert_eq!(started_rollouts(&node), 1);
    }
}

/// Guards against a stale report of a node that was cut off, which ends a later order to the same
/// version.
#[test]
fn report_of_superseded_order() {
    let mut node = node_in_rollout();
    node.report_change(KeySpace::Operator, order_item_in(StoreEra::default(), 130, "v3"));
    restore(&mut node, vec![order_item_in(RESTORED, 60, "v2")], Vec::new());
    node.advance(200);
    node.report_change(KeySpace::Operator, order_item_in(RESTORED, 66, "v2"));
    let stale = RolloutReport { outcome: Some(RolloutOutcome::RolledBack), ..report(None, true) };
    let heartbeat = heartbeat_with_backend(3, 2, "i-3", "v2");
    node.event(FleetEvent::Heartbeat(Heartbeat { rollouts: vec![stale], ..heartbeat }));
    assert_eq!(target(&rule(&node)), Some("v2"));
}

/// Guards against a new order that nodes of an earlier build pass on without its era, and that is
/// taken for one of the first era.
#[test]
fn report_without_era_of_new_order() {
    let mut node = Node::start();
    node.era = RESTORED;
    node.list(KeySpace::Operator, vec![config_item(5, 50), order_item_in(RESTORED, 66, "v2")]);
    node.list(KeySpace::Nodes, Vec::new());
    let ordered = RolloutReport {
        target: "v3".parse().unwrap(),
        order: Revision::new(70),
        order_era: None,
        ..report(None, false)
    };
    let heartbeat = heartbeat_with_backend(3, 1, "i-3", "v3");
    node.event(FleetEvent::Heartbeat(Heartbeat { rollouts: vec![ordered], ..heartbeat }));
    assert_eq!(target(&rule(&node)), Some("v3"));
}

/// Guards against an order repeated in its own era that is taken for the one that has ended.
#[test]
fn order_repeated_in_era() {
    let mut node = node_after_rollout();
    node.report_change(KeySpace::Operator, order_item(130));
    assert_eq!(target(&rule(&node)), Some("v2"));
}

/// Lets time pass, in which two nodes with lower ids send heartbeats and watch the store.
fn advance_beside_watchers(node: &mut Node, ms: u64) {
    for _ in 0..ms / 500 {
        for (n, id) in [(4, "m1"), (5, "m2")] {
            let mut first = heartbeat(n, node.now.get() + 1);
            first.entry.node = id.parse().unwrap();
            node.event(FleetEvent::Heartbeat(first));
        }
        node.advance(500);
    }
}

/// Guards against a node that doesn't watch the store and repeats a conditional write that can't
/// succeed, and against one that doesn't read the store when it takes over.
#[test]
fn progress_conflict_not_watching() {
    let mut node = Node::started(vec![config_item(5, 50)]);
    let is_watch = |request: &StoreRequest| matches!(request, StoreRequest::Watch(..));
    advance_beside_watchers(&mut node, 500);
    let none = StoreReply::Changes(Vec::new(), Revision::new(100));
    node.reply(is_watch, Ok(none.clone()));
    node.reply(is_watch, Ok(none));
    let heartbeat = heartbeat_with_backend(3, 1, "i-3", "v2");
    let reports = Heartbeat { rollouts: vec![report(None, false)], ..heartbeat };
    node.event(FleetEvent::Heartbeat(reports));
    advance_beside_watchers(&mut node, 1_500);
    assert_eq!(writes(&node), [(None, None)], "it takes over after a while");
    node.reply(is_progress, Err(StoreFailure::Conflict));
    advance_beside_watchers(&mut node, 3_000);
    assert_eq!(writes(&node), []);
    node.advance(2_000);
    assert_eq!(writes(&node), [], "it has not read the store yet");
    node.list_as_of(KeySpace::Nodes, vec![progress_item(110, None)], 120);
    advance_with_heartbeats(&mut node, 8_000);
    assert_eq!(writes(&node), [(Some(RolloutOutcome::Completed), Some(Revision::new(110)))]);
}
