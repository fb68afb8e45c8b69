//! How a call will go.

use std::time::Duration;

/// How a call will go, as decided when it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// How often it runs.
    pub runs: u32,
    /// How long it runs; `None` means that it never ends.
    pub duration: Option<Duration>,
    /// Whether it fails with 500.
    pub fails: bool,
    /// Whether the answer breaks off.
    pub is_truncated: bool,
    /// Whether it goes on after its deadline.
    pub ignores_deadline: bool,
}

impl Plan {
    /// A call without faults that runs for `duration`.
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
