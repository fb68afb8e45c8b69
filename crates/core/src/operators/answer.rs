//! The answer to an operator's query.

use crate::ids::{ConfigVersion, NodeId};
use crate::operators::AnswerBody;

/// The answer to an operator's query, from the state of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The id of the answering node.
    pub node: NodeId,
    /// The configuration version in force on that node; zero if it has none.
    pub version: ConfigVersion,
    /// The result of the query.
    pub body: AnswerBody,
}
