//! What the driver decides.

use crate::config::Change;
use crate::rollout::Notice;

/// What the driver decides.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DriverDecision {
    /// The changes to submit, one after the other.
    pub changes: Vec<Change>,
    /// What to tell the operators.
    pub notices: Vec<Notice>,
}
