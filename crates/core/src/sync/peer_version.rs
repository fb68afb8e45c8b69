//! Configuration versions reported by one other node.

use crate::ids::ConfigVersion;

/// Configuration versions reported by one other node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerVersion {
    /// Version that the node reported last; zero after it rejoined.
    pub held: ConfigVersion,
    /// Highest version that the node ever reported, including before its restarts.
    pub highest: ConfigVersion,
}
