//! What goes wrong with a call.

use serde::{Deserialize, Serialize};

/// What goes wrong with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// A share of the calls runs and fails with 500.
    Fail {
        /// The share in thousandths.
        per_mille: u16,
    },
    /// Calls take longer.
    Slow {
        /// By how many milliseconds.
        ms: u64,
    },
    /// Calls never end.
    Hang,
    /// Answers break off in the middle.
    Truncate,
    /// Answers come after the deadline.
    Late,
    /// Calls run twice.
    RunTwice,
}
