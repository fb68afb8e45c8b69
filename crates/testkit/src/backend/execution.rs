//! One execution of a call.

use serde::{Deserialize, Serialize};

/// One execution of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Its number in this process, from 1.
    pub number: u64,
    /// The call's idempotency key.
    pub key: Option<String>,
    /// The call's method.
    pub method: String,
    /// The call's path and query.
    pub path: String,
    /// How it ended.
    pub end: ExecutionEnd,
}

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// It still runs.
    Running,
    /// It ran to its end.
    Finished,
    /// A fault made it fail.
    Failed,
    /// The caller went away or the deadline passed.
    Cancelled,
}
