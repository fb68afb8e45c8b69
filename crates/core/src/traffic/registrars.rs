//! The choice of the registrars of a key.

use crate::ids::{CallKey, Digest, NodeId};

/// Number of registrars of a key.
///
/// A claim needs the grant of most of them, so that two claims of one key always ask a
/// registrar in common, also when one is lost or the set of doors changes by one node
/// between them.
pub const REGISTRARS: usize = 3;

/// The nodes among `nodes` that rank first for `key` by rendezvous hash, at most [`REGISTRARS`].
///
/// When one of them is lost, the others still rank among the first.
pub fn registrars<'a>(key: &CallKey, nodes: impl Iterator<Item = &'a NodeId>) -> Vec<&'a NodeId> {
    let mut ranked: Vec<(Digest, &NodeId)> = nodes.map(|node| (rank(key, node), node)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(REGISTRARS).map(|(_, node)| node).collect()
}

fn rank(key: &CallKey, node: &NodeId) -> Digest {
    Digest::of(format!("{node} {key}").as_bytes())
}
