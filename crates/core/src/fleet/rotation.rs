//! Takes the nodes of a changing set in turn.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::ids::NodeId;

/// Takes the nodes of a changing set in turn, some at a time.
#[derive(Debug)]
pub(super) struct Rotation {
    last: NodeId,
}

impl Rotation {
    /// Creates a rotation that begins behind `node`, so that nodes begin at different places.
    pub(super) const fn after(node: NodeId) -> Self {
        Self { last: node }
    }

    /// Returns the next nodes of `set`, at most `count` and each once.
    pub(super) fn next(&mut self, set: &BTreeSet<NodeId>, count: usize) -> Vec<NodeId> {
        let after = (Bound::Excluded(&self.last), Bound::Unbounded);
        let rest = (Bound::Unbounded, Bound::Included(&self.last));
        let behind = set.range::<NodeId, _>(after);
        let nodes: Vec<NodeId> =
            behind.chain(set.range::<NodeId, _>(rest)).take(count).cloned().collect();
        if let Some(last) = nodes.last() {
            self.last = last.clone();
        }
        nodes
    }
}
