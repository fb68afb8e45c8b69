//! Watching a key space of the store.

mod fleet_common;

use almondsail_core::fleet::{
    ItemChange, KeySpace, NodeEntry, StoreFailure, StoreItem, StoreKey, StoreReply, StoreRequest,
    StoreWatcher, StoredValue,
};
use almondsail_core::store::{Revision, StoreEra};
use almondsail_core::units::{Instant, Millis};
use fleet_common::{at, entry};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

fn item(n: u16, revision: u64) -> StoreItem {
    let entry: NodeEntry = entry(n, "dc-a");
    StoreItem {
        key: StoreKey::Node(entry.node.clone()),
        revision: Revision::new(revision),
        value: StoredValue::Node(entry),
    }
}

fn page(items: Vec<StoreItem>, next: Option<u16>, as_of: u64) -> StoreReply {
    let next = next.map(|n| StoreKey::Node(entry(n, "dc-a").node));
    StoreReply::Items { items, next, as_of: Revision::new(as_of) }
}

fn reply(
    watcher: &mut StoreWatcher,
    now: Instant,
    reply: Result<StoreReply, StoreFailure>,
) -> Vec<ItemChange> {
    watcher.reply(now, reply, &mut SmallRng::seed_from_u64(1)).changes
}

/// Guards against a watch that begins before the listing is complete, or after changes that were
/// made during the listing.
#[test]
fn request_pages_then_watch() {
    let mut watcher = StoreWatcher::new(KeySpace::Nodes);
    assert_eq!(watcher.request(at(0)), Some(StoreRequest::List(KeySpace::Nodes, None)));
    assert!(reply(&mut watcher, at(1), Ok(page(vec![item(1, 3)], Some(1), 5))).is_empty());
    let after = StoreKey::Node(entry(1, "dc-a").node);
    assert_eq!(watcher.request(at(1)), Some(StoreRequest::List(KeySpace::Nodes, Some(after))));
    let changes = reply(&mut watcher, at(2), Ok(page(vec![item(2, 6)], None, 9)));
    assert_eq!(changes, vec![ItemChange::Put(item(1, 3)), ItemChange::Put(item(2, 6))]);
    let watch = StoreRequest::Watch(KeySpace::Nodes, Revision::new(5), StoreWatcher::WATCH_TIME);
    assert_eq!(watcher.request(at(2)), Some(watch));
}

/// Guards against a change that is reported twice because the watch overlaps the listing.
#[test]
fn reply_repeated_change() {
    let mut watcher = StoreWatcher::new(KeySpace::Nodes);
    reply(&mut watcher, at(0), Ok(page(vec![item(1, 3)], None, 3)));
    let changes = vec![ItemChange::Put(item(1, 3)), ItemChange::Put(item(1, 4))];
    let changes = reply(&mut watcher, at(1), Ok(StoreReply::Changes(changes, Revision::new(4))));
    assert_eq!(changes, vec![ItemChange::Put(item(1, 4))]);
}

/// Guards against an item that is removed while the history is lost and stays known forever.
#[test]
fn reply_history_lost() {
    let mut watcher = StoreWatcher::new(KeySpace::Nodes);
    reply(&mut watcher, at(0), Ok(page(vec![item(1, 3), item(2, 4)], None, 4)));
    assert!(reply(&mut watcher, at(1), Err(StoreFailure::HistoryLost)).is_empty());
    assert_eq!(watcher.request(at(2_000)), Some(StoreRequest::List(KeySpace::Nodes, None)));
    let changes = reply(&mut watcher, at(2_000), Ok(page(vec![item(2, 7)], None, 9)));
    let removed = ItemChange::Removed(StoreKey::Node(entry(1, "dc-a").node), Revision::new(9));
    assert_eq!(changes, vec![removed, ItemChange::Put(item(2, 7))]);
}

/// Guards against a watcher that asks for the same unreadable changes for ever and so follows no
/// later one, and one that lists the store without a pause because of them.
#[test]
fn reply_unreadable_changes() {
    let mut watcher = StoreWatcher::new(KeySpace::Operator);
    let mut now = at(0);
    for n in 1..=20 {
        let listed = reply(&mut watcher, now, Ok(page(vec![item(1, n)], None, n)));
        assert_eq!(listed, vec![ItemChange::Put(item(1, n))]);
        let watch =
            StoreRequest::Watch(KeySpace::Operator, Revision::new(n), StoreWatcher::WATCH_TIME);
        assert_eq!(watcher.request(now), Some(watch));
        assert!(reply(&mut watcher, now, Err(StoreFailure::Unreadable)).is_empty());
        let later = now + Millis::new(900);
        assert_eq!(watcher.request(later), Some(StoreRequest::List(KeySpace::Operator, None)));
        assert_eq!(watcher.request(now + Millis::new(150)), None);
        now = later;
    }
}

/// Guards against a watcher that polls a failing store without a delay, and one that waits longer
/// than the two seconds within which lapsed entries must be written again.
#[test]
fn request_failures_in_a_row() {
    let mut watcher = StoreWatcher::new(KeySpace::Operator);
    let mut now = at(0);
    for _ in 0..20 {
        reply(&mut watcher, now, Err(StoreFailure::Unanswered));
        assert_eq!(watcher.request(now), None);
        now = now + Millis::new(900);
        assert!(watcher.request(now).is_some());
    }
}

/// Guards against a node that still sends requests to the store although others of its data centre
/// watch it.
#[test]
fn request_not_watching() {
    let mut watcher = StoreWatcher::new(KeySpace::Operator);
    watcher.set_watch_time(None);
    assert!(watcher.request(at(0)).is_some(), "the first listing is made in any case");
    reply(&mut watcher, at(0), Ok(page(Vec::new(), None, 1)));
    assert_eq!(watcher.request(at(5_000)), None);
    watcher.set_watch_time(Some(StoreWatcher::WATCH_TIME));
    assert!(watcher.request(at(5_000)).is_some());
}

/// Guards against items that are dropped after a restoration of the store because their revisions
/// are lower than before, and against removed ones that stay known.
#[test]
fn restart_lower_revisions() {
    let mut watcher = StoreWatcher::new(KeySpace::Nodes);
    reply(&mut watcher, at(0), Ok(page(vec![item(1, 30), item(2, 40)], None, 50)));
    watcher.restart(at(1), StoreEra::new(1));
    assert_eq!(watcher.request(at(1)), Some(StoreRequest::List(KeySpace::Nodes, None)));
    let changes = reply(&mut watcher, at(1), Ok(page(vec![item(2, 20)], None, 25)));
    let removed = ItemChange::Removed(StoreKey::Node(entry(1, "dc-a").node), Revision::new(25));
    assert_eq!(changes, vec![removed, ItemChange::Put(item(2, 20))]);
    let changes = vec![ItemChange::Put(item(2, 26))];
    let reported =
        reply(&mut watcher, at(2), Ok(StoreReply::Changes(changes.clone(), Revision::new(26))));
    assert_eq!(reported, changes);
}
