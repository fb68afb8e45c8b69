//! The choice of the registrars that take over the claims of a leaving one.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{NodeId, ServiceName};
use crate::traffic::{HandoverClaim, registrars};

/// The claims that the leaving registrar `own` hands to each node.
///
/// `service_nodes` gives the nodes with an endpoint for a service, `all` every node. A claim goes
/// to every node that ranks first for its key without `own`; some of them may have restarted and
/// not know the key.
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
