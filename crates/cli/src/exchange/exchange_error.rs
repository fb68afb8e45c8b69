//! Why a node did not answer.

use std::fmt;

/// Why a node did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeError {
    /// There was no connection, so the node did not get the request.
    NotSent(String),
    /// The request was sent, in part or in whole, and the answer is missing.
    AnswerLost(String),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(problem) => write!(f, "can't be reached: {problem}"),
            Self::AnswerLost(problem) => write!(f, "gave no complete answer: {problem}"),
        }
    }
}

impl std::error::Error for ExchangeError {}
