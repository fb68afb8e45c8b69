//! Configurations of which this build can't read some entries.

use std::sync::Arc;

use crate::fleet::{MeshConfig, UnknownType};

/// A configuration whose only flaw is entries of unknown types.
///
/// It never comes into force. A node without any configuration serves the calls that it certainly
/// reads as they are meant, see [`MeshConfig::serves`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialConfig {
    /// The configuration without the entries of unknown types; [`MeshConfig::is_partial`] holds.
    pub config: Arc<MeshConfig>,
    /// The unknown types, at least one.
    pub unknown_types: Vec<UnknownType>,
}
