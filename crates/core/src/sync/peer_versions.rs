//! Configuration versions reported by other nodes.

use std::collections::BTreeMap;

use crate::ids::{ConfigVersion, NodeId};
use crate::sync::PeerVersion;

/// Configuration versions reported by other nodes.
#[derive(Debug, Clone, Default)]
pub struct PeerVersions {
    versions: BTreeMap<NodeId, PeerVersion>,
    /// Highest version ever reported by any node. Nodes that reported it may be gone.
    highest: ConfigVersion,
}

impl PeerVersions {
    /// Records that `node` reported holding `version`.
    pub fn record(&mut self, node: &NodeId, version: ConfigVersion) {
        let known = self.versions.entry(node.clone()).or_default();
        known.held = version;
        known.highest = known.highest.max(version);
        self.highest = self.highest.max(version);
    }

    /// Records that `node` has restarted and holds no configuration.
    pub fn record_join(&mut self, node: &NodeId) {
        self.versions.entry(node.clone()).or_default().held = ConfigVersion::default();
    }

    /// Returns the versions that `node` reported, or zeros if it reported none.
    pub fn get(&self, node: &NodeId) -> PeerVersion {
        self.versions.get(node).copied().unwrap_or_default()
    }

    /// Returns every known node with the versions that it reported.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, PeerVersion)> {
        self.versions.iter().map(|(node, version)| (node, *version))
    }

    /// Returns the nodes that hold a higher version than `version`.
    pub fn holders_above(&self, version: ConfigVersion) -> Vec<&NodeId> {
        if self.highest <= version {
            return Vec::new();
        }
        self.versions.iter().filter(|(_, known)| known.held > version).map(|(id, _)| id).collect()
    }

    /// Drops the nodes for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&NodeId) -> bool) {
        self.versions.retain(|node, _| is_known(node));
    }
}
