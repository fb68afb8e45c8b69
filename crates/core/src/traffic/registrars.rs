//! The choice of the registrars of a key.

use crate::ids::{CallKey, Digest, NodeId};

/// Number of registrars of a key.
///
/// A claim needs the grant of most of them, so that two claims of one key always ask a registrar in
/// common, also when one is lost or the set of nodes of the service changes by one node between
/// them.
pub const REGISTRARS_PER_KEY: usize = 3;

/// The nodes that rank first for `key` by rendezvous hash, at most [`REGISTRARS_PER_KEY`].
///
/// The nodes beside backend servers of the service, `service_nodes`, go before all others: the set
/// of a service's nodes changes less often than that of all nodes. The others fill up where a
/// service has few of them, so that the loss of one does not stop its calls with a key.
pub fn registrars<'a>(
    key: &CallKey,
    service_nodes: impl Iterator<Item = &'a NodeId>,
    all: impl Iterator<Item = &'a NodeId>,
) -> Vec<&'a NodeId> {
    let mut chosen = highest_ranked(key, service_nodes);
    if chosen.len() < REGISTRARS_PER_KEY {
        let missing = REGISTRARS_PER_KEY - chosen.len();
        let others = all.filter(|node| !chosen.contains(node));
        let mut others = highest_ranked(key, others);
        others.truncate(missing);
        chosen.append(&mut others);
    }
    chosen
}

fn highest_ranked<'a>(key: &CallKey, nodes: impl Iterator<Item = &'a NodeId>) -> Vec<&'a NodeId> {
    let mut ranked: Vec<(Digest, &NodeId)> = nodes.map(|node| (rank(key, node), node)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(REGISTRARS_PER_KEY).map(|(_, node)| node).collect()
}

fn rank(key: &CallKey, node: &NodeId) -> Digest {
    Digest::of(format!("{node} {key}").as_bytes())
}
