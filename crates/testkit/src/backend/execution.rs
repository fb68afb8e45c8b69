//! One execution of a call by the test backend server.

use serde::{Deserialize, Serialize};

/// One execution of a call by the test backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The number of the execution within its process, counted from 1.
    pub number: u64,
    /// The call's idempotency key, if it had one.
    pub key: Option<String>,
    /// The HTTP method of the call.
    pub method: String,
    /// The path and query of the call's target.
    pub path: String,
    /// How the execution ended, or that it is still running.
    pub end: ExecutionEnd,
}

/// How an execution ended, or that it is still running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// The execution has not ended yet.
    Running,
    /// The execution ran to completion.
    Finished,
    /// An injected fault made the execution fail.
    Failed,
    /// The caller closed its connection or the deadline passed.
    Cancelled,
}
