//! The faults of a backend server.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{AnnouncementFault, Fault, FaultRule, Plan};

/// How long after its deadline a late answer comes.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// The faults that a test asks for; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of calls.
    pub calls: Vec<FaultRule>,
    /// Faults of announcements.
    pub report: AnnouncementFault,
}

impl Faults {
    /// Faults of calls by these rules.
    pub fn of_calls(calls: impl IntoIterator<Item = FaultRule>) -> Self {
        Self { calls: calls.into_iter().collect(), report: AnnouncementFault::default() }
    }

    /// Changes `plan` by every rule that strikes a call to `path`.
    ///
    /// `age` is the time since the faults were set, `load` the number of calls
    /// that run, `remaining` the time to the call's deadline.
    pub fn apply(
        &self,
        mut plan: Plan,
        path: &str,
        (age, load): (Duration, usize),
        remaining: Duration,
        rng: &mut impl Rng,
    ) -> Plan {
        for rule in self.calls.iter().filter(|rule| rule.applies_to(path, age, load)) {
            match rule.fault {
                Fault::Fail { per_mille } => plan.fails |= rng.random_range(0..1_000) < per_mille,
                Fault::Slow { ms } => {
                    plan.duration = plan.duration.map(|time| time + Duration::from_millis(ms));
                }
                Fault::Hang => plan.duration = None,
                Fault::Truncate => plan.is_truncated = true,
                Fault::Late => {
                    plan.ignores_deadline = true;
                    plan.duration =
                        plan.duration.map(|time| time.max(remaining + LATE_ANSWER_DELAY));
                }
                Fault::RunTwice => plan.runs = 2,
            }
        }
        plan
    }
}
