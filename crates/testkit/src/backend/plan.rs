//! How a call will be executed and answered.

use std::time::Duration;

/// How a call will be executed and answered, decided when it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// The number of executions that are recorded for the call.
    pub runs: u32,
    /// The run time of the call; `None` if it never completes.
    pub duration: Option<Duration>,
    /// Whether the call is answered with status 500.
    pub fails: bool,
    /// Whether the connection closes in the middle of the answer.
    pub is_truncated: bool,
    /// Whether the call continues after its deadline.
    pub ignores_deadline: bool,
}

impl Plan {
    /// Creates a plan without faults for a call that runs for `duration`.
    pub fn fault_free(duration: Duration) -> Self {
        Self {
            runs: 1,
            duration: Some(duration),
            fails: false,
            is_truncated: false,
            ignores_deadline: false,
        }
    }
}
