//! Faults that a test injects into calls.

use serde::{Deserialize, Serialize};

/// A fault that a test injects into calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Runs a share of the calls and answers them with status 500.
    Fail {
        /// The share of failing calls in thousandths.
        per_mille: u16,
    },
    /// Runs calls longer than usual.
    Slow {
        /// The additional run time in milliseconds.
        ms: u64,
    },
    /// Starts calls but never completes them.
    Hang,
    /// Closes the connection in the middle of the answer.
    Truncate,
    /// Answers calls after their deadline.
    Late,
    /// Executes each call twice.
    RunTwice,
}
