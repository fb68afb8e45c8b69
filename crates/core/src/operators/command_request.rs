//! The request that carries an operator's command.

use crate::ids::{ConfigVersion, WriteId};
use crate::operators::Command;

/// The request that carries an operator's command to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandRequest {
    /// The id of the store write, chosen by the operator's tool. A retry carries the same id, so
    /// that the change is accepted only once.
    pub write_id: WriteId,
    /// The command that the node turns into a change of the configuration.
    pub command: Command,
    /// The configuration version on which the operator's decision is based; `None` if the command
    /// is valid on any version.
    pub base_version: Option<ConfigVersion>,
    /// Whether the node only reports what would change and writes nothing.
    pub dry_run: bool,
}
