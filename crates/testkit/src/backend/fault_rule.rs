//! A fault and the calls that it strikes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fault;

/// A fault and the calls that it strikes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultRule {
    /// What goes wrong.
    #[serde(flatten)]
    pub fault: Fault,
    /// Calls whose path begins with this.
    pub prefix: String,
    /// Only this many milliseconds after the rule was set, or later.
    #[serde(default)]
    pub after_ms: u64,
    /// Only while at least this many calls run.
    #[serde(default)]
    pub from_load: usize,
}

impl FaultRule {
    /// The fault on every call whose path begins with `prefix`.
    pub fn new(prefix: &str, fault: Fault) -> Self {
        Self { fault, prefix: prefix.to_owned(), after_ms: 0, from_load: 0 }
    }

    /// Whether the rule strikes a call that begins `age` after the rule was set.
    pub fn applies_to(&self, path: &str, age: Duration, load: usize) -> bool {
        path.starts_with(&self.prefix)
            && age >= Duration::from_millis(self.after_ms)
            && load >= self.from_load
    }
}
