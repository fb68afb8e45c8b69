//! Faults of the store.

use serde::{Deserialize, Serialize};

/// Faults that a test asks for; a field that is left out is off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreMode {
    /// Every call is refused with 503 and has no effect.
    pub down: bool,
    /// Every call waits this many milliseconds before it takes effect.
    pub slow_ms: u64,
    /// This many writes take effect and are not answered.
    pub lose_answers: u64,
}
