//! The result of a decision of the driver.

use crate::config::Change;
use crate::rollout::Notice;

/// The changes and notices that follow from a decision of the driver.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DriverDecision {
    /// The configuration changes to submit, in this order.
    pub changes: Vec<Change>,
    /// The notices to pass on to the operators, each of them new.
    pub notices: Vec<Notice>,
}
