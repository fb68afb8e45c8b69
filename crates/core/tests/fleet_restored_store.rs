//! The control state of a node whose store is restored from an earlier copy.

mod fleet_common;

use almondsail_core::fleet::{
    ItemChange, KeySpace, LeaseId, StoreFailure, StoreKey, StoreReply, StoreRequest, StoreWatcher,
    StoreWrite,
};
use almondsail_core::store::{Revision, StoreEra};
use fleet_common::node::{Node, config_item};

const SPACES: [KeySpace; 2] = [KeySpace::Operator, KeySpace::Nodes];

fn is_watch(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Watch(KeySpace::Operator, ..))
}

fn is_renewal(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::KeepLease(_))
}

/// Starts a node with version 5 of the configuration and an entry under the lease 7.
fn node_with_entry() -> Node {
    let mut node = Node::started(vec![config_item(5, 50)]);
    let is_opening = |request: &StoreRequest| matches!(request, StoreRequest::OpenLease(_));
    node.reply(is_opening, Ok(StoreReply::Lease(LeaseId::new(7))));
    let is_write = |request: &StoreRequest| matches!(request, StoreRequest::Write(_));
    node.reply(is_write, Ok(StoreReply::Written(Revision::new(101))));
    node
}

/// Returns whether the node waits for the first page of a listing of `space`.
fn lists(node: &Node, space: KeySpace) -> bool {
    node.open_requests.iter().any(|(_, request)| *request == StoreRequest::List(space, None))
}

/// Guards against a change that is dropped because its revision was given out before, and against
/// the older version of the copy that comes into force.
#[test]
fn config_changed_after_restoration() {
    let mut node = node_with_entry();
    node.report_change(KeySpace::Operator, config_item(7, 110));
    node.era = StoreEra::new(1);
    node.advance(200);
    node.reply(is_watch, Err(StoreFailure::HistoryLost));
    node.advance(1_000);
    node.list_as_of(KeySpace::Operator, vec![config_item(5, 50)], 60);
    assert_eq!(node.version(), 7);
    node.report_change(KeySpace::Operator, config_item(8, 70));
    assert_eq!(node.version(), 8);
}

/// Guards against events that are never seen because a watch from a revision that was given out
/// again succeeds.
#[test]
fn watch_succeeds_after_restoration() {
    let mut node = node_with_entry();
    node.era = StoreEra::new(1);
    node.reply(is_watch, Ok(StoreReply::Changes(Vec::new(), Revision::new(120))));
    assert!(SPACES.iter().all(|space| lists(&node, *space)));
    node.list_as_of(KeySpace::Operator, vec![config_item(6, 90)], 130);
    assert_eq!(node.version(), 6);
}

/// Guards against pages of one listing that are read before and after a restoration.
#[test]
fn listing_across_restoration() {
    let mut node = Node::start();
    let page = |next: Option<StoreKey>| {
        let items = vec![config_item(5, 50)];
        Ok(StoreReply::Items { items, next, as_of: Revision::new(100) })
    };
    let is_listing = |r: &StoreRequest| matches!(r, StoreRequest::List(KeySpace::Operator, _));
    node.reply(is_listing, page(Some(StoreKey::Config)));
    node.era = StoreEra::new(1);
    node.reply(is_listing, page(None));
    assert_eq!(node.version(), 0, "the listing is not complete");
    assert!(lists(&node, KeySpace::Operator));
}

/// Guards against a late answer from before a restoration whose revision is taken over.
#[test]
fn answer_of_earlier_era() {
    let mut node = node_with_entry();
    node.era = StoreEra::new(1);
    node.reply(is_watch, Err(StoreFailure::HistoryLost));
    node.list_as_of(KeySpace::Operator, vec![config_item(5, 50)], 60);
    node.era = StoreEra::new(0);
    let removed = ItemChange::Removed(StoreKey::Config, Revision::new(400));
    let changes = Ok(StoreReply::Changes(vec![removed], Revision::new(400)));
    let time = StoreWatcher::LEADER_WATCH_TIME;
    let watch = StoreRequest::Watch(KeySpace::Operator, Revision::new(60), time);
    node.open_requests.retain(|(_, request)| !is_watch(request) || *request == watch);
    node.reply(is_watch, changes);
    node.advance(1_000);
    assert!(node.open_requests.iter().any(|(_, request)| *request == watch));
}

/// Guards against a node that learns of a restoration only when a watch ends.
#[test]
fn restoration_told_by_renewal() {
    let mut node = node_with_entry();
    node.advance(2_500);
    node.era = StoreEra::new(1);
    node.reply(is_renewal, Err(StoreFailure::NoLease));
    assert!(SPACES.iter().all(|space| lists(&node, *space)));
}

/// Guards against a lost watch after which only the next regular renewal tells of a restoration,
/// while the repeated watch waits at the restored store.
#[test]
fn renewal_after_lost_watch() {
    let mut node = node_with_entry();
    node.reply(is_watch, Err(StoreFailure::Unanswered));
    node.advance(700);
    assert!(node.open_requests.iter().any(|(_, request)| is_renewal(request)));
}

/// Guards against a node that renews the lease of another, whose id was given out again, and whose
/// own entry is never written again.
#[test]
fn entry_after_restoration() {
    let mut node = node_with_entry();
    node.advance(2_500);
    node.era = StoreEra::new(1);
    node.reply(is_renewal, Ok(StoreReply::Lease(LeaseId::new(7))));
    let is_opening = |request: &StoreRequest| matches!(request, StoreRequest::OpenLease(_));
    assert!(node.open_requests.iter().any(|(_, request)| is_opening(request)));
    node.reply(is_opening, Ok(StoreReply::Lease(LeaseId::new(9))));
    let lease = |request: &StoreRequest| match request {
        StoreRequest::Write(StoreWrite::Node(_, lease)) => Some(*lease),
        _ => None,
    };
    let leases: Vec<LeaseId> =
        node.open_requests.iter().filter_map(|(_, request)| lease(request)).collect();
    assert_eq!(leases, [LeaseId::new(9)]);
}

/// Guards against a lease that was opened before a restoration and is used after it.
#[test]
fn lease_opened_before_restoration() {
    let mut node = Node::started(vec![config_item(5, 50)]);
    node.era = StoreEra::new(1);
    node.reply(is_watch, Err(StoreFailure::HistoryLost));
    let is_opening = |request: &StoreRequest| matches!(request, StoreRequest::OpenLease(_));
    let openings = node.open_requests.iter().filter(|(_, request)| is_opening(request)).count();
    assert_eq!(openings, 2, "one in each era");
    node.era = StoreEra::new(0);
    node.reply(is_opening, Ok(StoreReply::Lease(LeaseId::new(7))));
    let is_write = |request: &StoreRequest| matches!(request, StoreRequest::Write(_));
    assert!(!node.open_requests.iter().any(|(_, request)| is_write(request)));
}
