//! The statistics of many runs.

use crate::policy::Policy;
use crate::run::Outcome;
use crate::scenario::Scenario;

/// The statistics of many runs of a scenario under a policy.
pub(crate) struct Summary {
    runs: usize,
    rolled_back: usize,
    in_time: usize,
    /// The affected calls of each run that ended in a rollback, in ascending order.
    affected_calls: Vec<u64>,
}

impl Summary {
    pub(crate) const HEADER: &str = "| version | policy | rolled back | calls touched, median | \
        calls touched, 99th percentile | false rollbacks | done before the deadline |\n\
        |---|---|---|---|---|---|---|";

    pub(crate) fn of(outcomes: &[Outcome]) -> Self {
        let rolled_back = outcomes.iter().filter(|outcome| outcome.is_rolled_back);
        let mut affected_calls: Vec<u64> =
            rolled_back.map(|outcome| outcome.affected_calls).collect();
        affected_calls.sort_unstable();
        Self {
            runs: outcomes.len(),
            rolled_back: affected_calls.len(),
            in_time: outcomes.iter().filter(|outcome| outcome.is_in_time).count(),
            affected_calls,
        }
    }

    pub(crate) fn row(&self, scenario: Scenario, policy: Policy) -> String {
        let percent = |n: usize| format!("{:.1}%", 100.0 * n as f64 / self.runs as f64);
        let none = || "-".to_owned();
        let quantile = |percent: usize| {
            let index = (self.affected_calls.len() * percent).div_ceil(100).saturating_sub(1);
            self.affected_calls.get(index).map_or_else(none, u64::to_string)
        };
        let cells = if scenario.is_bad() {
            [percent(self.rolled_back), quantile(50), quantile(99), none(), none()]
        } else {
            [none(), none(), none(), percent(self.rolled_back), percent(self.in_time)]
        };
        format!("| {scenario} | {policy} | {} |", cells.join(" | "))
    }
}
