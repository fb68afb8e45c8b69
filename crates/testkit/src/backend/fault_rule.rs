//! A fault and the conditions under which it affects a call.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fault;

/// A fault and the conditions under which it affects a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultRule {
    /// The fault injected into matching calls.
    #[serde(flatten)]
    pub fault: Fault,
    /// The prefix that the path of a matching call begins with.
    pub prefix: String,
    /// The delay in milliseconds between setting the rule and its first effect.
    #[serde(default)]
    pub after_ms: u64,
    /// The smallest number of running or queued calls at which the rule takes effect.
    #[serde(default)]
    pub from_load: usize,
}

impl FaultRule {
    /// Creates a rule that affects every call whose path begins with `prefix`.
    pub fn new(prefix: &str, fault: Fault) -> Self {
        Self { fault, prefix: prefix.to_owned(), after_ms: 0, from_load: 0 }
    }

    /// Returns whether the rule affects a call to `path`.
    ///
    /// `age` is the time since the rule was set, `load` the number of running or
    /// queued calls.
    pub fn applies_to(&self, path: &str, age: Duration, load: usize) -> bool {
        path.starts_with(&self.prefix)
            && age >= Duration::from_millis(self.after_ms)
            && load >= self.from_load
    }
}
