//! The choice of the nodes that keep the claims of an idempotency key.

use crate::ids::{CallKey, Digest, NodeId};

/// The number of registrars of an idempotency key.
///
/// A claim needs the grant of a majority of them, so two claims of one key always ask a common
/// registrar, even if one registrar is lost or one node of the service comes or goes in between.
pub const REGISTRARS_PER_KEY: usize = 3;

/// Returns the registrars of `key`: at most [`REGISTRARS_PER_KEY`] nodes, by rendezvous hashing.
///
/// The nodes beside backend servers of the service, `service_nodes`, go before others, as the set
/// of a service's nodes changes less often than that of all nodes. Others are added for a service
/// with few nodes, so that the loss of one doesn't stop its calls with a key.
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
