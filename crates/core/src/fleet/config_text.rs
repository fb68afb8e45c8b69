//! A configuration with the text that it was read from.

use std::sync::Arc;

use crate::fleet::MeshConfig;

/// A configuration with the text that it was read from, which is handed on to other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigText {
    /// The checked configuration.
    pub config: Arc<MeshConfig>,
    /// The text, as the store holds it.
    pub text: Arc<[u8]>,
}
