//! The choice of the registrars of a key.

use crate::ids::{CallKey, Digest, NodeId};

/// The nodes among `nodes` that rank first and second for `key` by rendezvous hash.
///
/// When one of them is lost, the other still ranks among the first two.
pub fn registrars<'a>(
    key: &CallKey,
    nodes: impl Iterator<Item = &'a NodeId>,
) -> (Option<&'a NodeId>, Option<&'a NodeId>) {
    let (mut first, mut second) = (None, None);
    for node in nodes {
        let candidate = Some((rank(key, node), node));
        if candidate > first {
            (first, second) = (candidate, first);
        } else if candidate > second && candidate != first {
            second = candidate;
        }
    }
    (first.map(|(_, node)| node), second.map(|(_, node)| node))
}

fn rank(key: &CallKey, node: &NodeId) -> Digest {
    Digest::of(format!("{node} {key}").as_bytes())
}
