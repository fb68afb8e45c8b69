//! The choice of the registrars that take over the claims of a leaving one.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{NodeId, ServiceName};
use crate::traffic::{HandoverClaim, registrars};

/// Returns the claims that the leaving registrar `own` hands over, by receiving node.
///
/// `service_nodes` returns the nodes with an endpoint for a service, `all` yields every node. A
/// claim goes to every registrar of its key without `own`, also to those that should hold it
/// already, as they may have restarted and lost it.
pub fn handover<'a>(
    own: &NodeId,
    claims: &[HandoverClaim],
    service_nodes: impl Fn(&ServiceName) -> Option<&'a BTreeSet<NodeId>>,
    all: impl Iterator<Item = &'a NodeId> + Clone,
) -> BTreeMap<NodeId, Vec<HandoverClaim>> {
    let mut parts: BTreeMap<NodeId, Vec<HandoverClaim>> = BTreeMap::new();
    for claim in claims {
        let others =
            service_nodes(&claim.service).into_iter().flatten().filter(|node| *node != own);
        let all = all.clone().filter(|node| *node != own);
        for node in registrars(&claim.key, others, all) {
            parts.entry(node.clone()).or_default().push(claim.clone());
        }
    }
    parts
}
