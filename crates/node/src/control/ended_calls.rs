//! Converts call counters into the accounting of calls that entered the mesh at this node.

use almondsail_core::RefusalReason;
use almondsail_core::report::{CallEnd, EndedCalls};

use crate::calls::call_counters::{CallCounts, CounterKey, CountingRole};

/// Converts the `counts` of calls that entered the mesh at this node on a known route.
pub(crate) fn from_counts(counts: &[(CounterKey, CallCounts)]) -> Vec<EndedCalls> {
    let mut all = Vec::new();
    for (key, counts) in counts.iter().filter(|(key, _)| key.at == CountingRole::Entry) {
        let Some((service, route)) = &key.route else { continue };
        all.extend(call_ends(counts).filter(|(_, count)| *count > 0).map(|(end, count)| {
            EndedCalls { service: service.clone(), route: route.clone(), end, count }
        }));
    }
    all
}

/// Returns how the calls ended, with the number of each. An error status from the backend
/// server counts as answered, since the mesh delivered it.
fn call_ends(counts: &CallCounts) -> impl Iterator<Item = (CallEnd, u64)> {
    let answered = counts.server_errors + counts.latency.iter().sum::<u64>();
    let failures = RefusalReason::ALL.iter().zip(counts.failures);
    let failures = failures.map(|(reason, calls)| (CallEnd::Failed(*reason), calls));
    [(CallEnd::Answered, answered), (CallEnd::Cancelled, counts.cancelled)]
        .into_iter()
        .chain(failures)
}
