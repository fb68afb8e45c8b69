//! The configuration versions of other nodes.

use std::collections::BTreeMap;

use crate::ids::{ConfigVersion, NodeId};
use crate::sync::PeerVersion;

/// The configuration versions that other nodes reported.
#[derive(Debug, Clone, Default)]
pub struct PeerVersions {
    versions: BTreeMap<NodeId, PeerVersion>,
    /// At least the highest version that any node holds.
    highest: ConfigVersion,
}

impl PeerVersions {
    /// Takes a report of the version that `node` holds.
    pub fn record(&mut self, node: &NodeId, version: ConfigVersion) {
        let known = self.versions.entry(node.clone()).or_default();
        known.held = version;
        known.highest = known.highest.max(version);
        self.highest = self.highest.max(version);
    }

    /// Takes note that `node` was started anew and holds nothing.
    pub fn record_join(&mut self, node: &NodeId) {
        self.versions.entry(node.clone()).or_default().held = ConfigVersion::default();
    }

    /// What `node` reported.
    pub fn get(&self, node: &NodeId) -> PeerVersion {
        self.versions.get(node).copied().unwrap_or_default()
    }

    /// Every node that reported a version.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, PeerVersion)> {
        self.versions.iter().map(|(node, version)| (node, *version))
    }

    /// The nodes that hold a higher version than `version`.
    pub fn holders_above(&self, version: ConfigVersion) -> Vec<&NodeId> {
        if self.highest <= version {
            return Vec::new();
        }
        self.versions.iter().filter(|(_, known)| known.held > version).map(|(id, _)| id).collect()
    }

    /// Forgets the nodes for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&NodeId) -> bool) {
        self.versions.retain(|node, _| is_known(node));
    }
}
