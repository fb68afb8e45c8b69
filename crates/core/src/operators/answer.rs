//! The answer to a question of an operator.

use crate::ids::{ConfigVersion, NodeId};
use crate::operators::AnswerBody;

/// The answer to a question of an operator, as one node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The node that answers.
    pub node: NodeId,
    /// The version of the configuration in force on that node; zero for none.
    pub version: ConfigVersion,
    /// What was asked for.
    pub body: AnswerBody,
}
