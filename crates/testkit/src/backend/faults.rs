//! All faults injected into one backend server.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{AnnouncementFault, Fault, FaultRule, Plan};

/// How long after its deadline a call with [`Fault::Late`] is answered.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// All faults injected into one backend server; none by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The rules for calls; every rule that matches a call affects it.
    pub calls: Vec<FaultRule>,
    /// The fault in the announcements to the node.
    pub report: AnnouncementFault,
}

impl Faults {
    /// Creates faults that affect only calls, by the given rules.
    pub fn of_calls(calls: impl IntoIterator<Item = FaultRule>) -> Self {
        Self { calls: calls.into_iter().collect(), report: AnnouncementFault::default() }
    }

    /// Applies every rule that matches a call to `path` to its plan.
    ///
    /// `age` is the time since the faults were set, `load` the number of running or
    /// queued calls, `remaining` the time until the call's deadline.
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
