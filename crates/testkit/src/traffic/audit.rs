//! Compares the answers that callers got with the executions at the backend servers.

use std::collections::{BTreeMap, BTreeSet};

use super::CallResults;
use crate::backend::Execution;

/// Differences between the answers that callers got and the executions at the backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Idempotency keys of calls that were executed more than once.
    pub duplicated: BTreeSet<String>,
    /// Idempotency keys of calls that were answered but not executed.
    pub answered_not_executed: BTreeSet<String>,
}

impl Audit {
    /// Compares the keys of the answered calls in `results` with `executions`.
    pub fn of(results: &CallResults, executions: &[Execution]) -> Self {
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for key in executions.iter().filter_map(|execution| execution.key.as_deref()) {
            *runs.entry(key).or_default() += 1;
        }
        let is_duplicated = |(key, n): (&&str, &usize)| (*n > 1).then(|| (*key).to_owned());
        let is_not_executed = |key: &&String| !runs.contains_key(key.as_str());
        Self {
            duplicated: runs.iter().filter_map(is_duplicated).collect(),
            answered_not_executed: results
                .answered_keys
                .iter()
                .filter(is_not_executed)
                .cloned()
                .collect(),
        }
    }

    /// Returns whether no difference was found.
    pub fn is_clean(&self) -> bool {
        self.duplicated.is_empty() && self.answered_not_executed.is_empty()
    }
}
