//! The error of an exchange without a complete response.

use std::fmt;

/// The error of an exchange without a complete response. Each variant holds the cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeError {
    /// The request was not sent: the connection failed, or the request could not be built.
    NotSent(String),
    /// No complete response arrived, and the node may have carried out the request.
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
