//! A configuration with its source text.

use std::sync::Arc;

use crate::fleet::{MeshConfig, UnknownKind};

/// A configuration with its source text, which is sent on to other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigText {
    /// The configuration that was parsed from the text and checked.
    pub config: Arc<MeshConfig>,
    /// The source text as the store holds it, compressed for other nodes.
    pub compressed: Arc<[u8]>,
    /// The kinds of routes in the text that this build does not know.
    pub unknown_kinds: Vec<UnknownKind>,
}
