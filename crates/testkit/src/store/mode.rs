//! Faults that a test injects into the store.

use serde::{Deserialize, Serialize};

/// Faults that a test injects into the store; all are off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreMode {
    /// Whether every call is rejected with status 503 and has no effect.
    pub down: bool,
    /// The delay in milliseconds before a call takes effect.
    pub slow_ms: u64,
    /// The number of writes that will take effect without being answered.
    pub lose_answers: u64,
}
