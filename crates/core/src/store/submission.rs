//! A change as it is submitted.

use crate::config::Change;
use crate::ids::{ConfigVersion, OperatorName, TeamName, WriteId};

/// A change as an operator, or the driver of a rollout, submits it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The id of the write, unique for each submission.
    pub write_id: WriteId,
    /// Who submits it.
    pub operator: OperatorName,
    /// The team to whose services the operator is limited; `None` for all.
    pub team: Option<TeamName>,
    /// The configuration version that the change was decided on, if it matters.
    pub base: Option<ConfigVersion>,
    /// The change.
    pub change: Change,
    /// Whether only to say what would change.
    pub dry_run: bool,
}
