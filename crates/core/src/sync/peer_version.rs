//! The configuration versions of one other node.

use crate::ids::ConfigVersion;

/// The configuration versions that a node reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerVersion {
    /// What it reported last; zero after it joined anew.
    pub held: ConfigVersion,
    /// The highest that it ever reported, also before it was restarted.
    pub highest: ConfigVersion,
}
