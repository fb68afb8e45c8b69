//! Submissions of configuration changes to the store.

use crate::config::Change;
use crate::ids::{ConfigVersion, OperatorName, TeamName, WriteId};

/// A change submitted by an operator or by a node, for example as the driver of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Unique id of the write. A repeated submission with the same id is written only once.
    pub write_id: WriteId,
    /// Operator that submits the change, or `almondsail` for changes by nodes.
    pub operator: OperatorName,
    /// Team to whose services the operator is limited; `None` for all teams.
    pub team: Option<TeamName>,
    /// Configuration version that the change was decided on. If the affected service changed
    /// after it, the change is refused. `None` skips this check.
    pub base_version: Option<ConfigVersion>,
    /// Change to apply to the newest configuration.
    pub change: Change,
    /// Whether to only report the edits that the change would make.
    pub dry_run: bool,
}
