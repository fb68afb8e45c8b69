//! A command as an operator sends it.

use crate::ids::{ConfigVersion, WriteId};
use crate::operators::Command;

/// A command as an operator sends it to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandRequest {
    /// The id of the write. A repeat carries the same id, so that a change is accepted once.
    pub write_id: WriteId,
    /// The command.
    pub command: Command,
    /// The configuration version that the operator decided on, if it matters.
    pub base: Option<ConfigVersion>,
    /// Whether only to say what would change.
    pub dry_run: bool,
}
