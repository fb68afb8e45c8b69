//! Converts call counters into the call outcomes that rollouts are judged by.

use almondsail_core::RefusalReason;
use almondsail_core::rollout::{CallOutcome, CountedCalls, CountingRole as CoreCountingRole};
use almondsail_core::units::Micros;

use crate::calls::call_counters::{
    CallCounts, CounterKey, CountingRole, LATENCY_BUCKETS, latency_bound,
};

/// Converts `counts`, skipping calls on no known route and calls sent to no version.
pub(crate) fn from_counts(counts: Vec<(CounterKey, CallCounts)>) -> Vec<CountedCalls> {
    let mut all = Vec::new();
    for (key, counts) in counts {
        if let (Some((service, route)), Some(version)) = (key.route, key.version) {
            let at = match key.at {
                CountingRole::Entry => CoreCountingRole::Entry,
                CountingRole::Backend => CoreCountingRole::Backend,
            };
            all.extend(call_outcomes(&counts).map(|(outcome, latency, calls)| CountedCalls {
                at,
                service: service.clone(),
                route: route.clone(),
                version: version.clone(),
                outcome,
                latency,
                calls,
            }));
        }
    }
    all
}

/// Returns the outcomes of one counter cell with their latencies and non-zero numbers of calls.
fn call_outcomes(counts: &CallCounts) -> impl Iterator<Item = (CallOutcome, Micros, u32)> {
    let answered = (0..LATENCY_BUCKETS)
        .map(|i| (CallOutcome::Answered, bucket_upper_bound(i), counts.latency[i]));
    let failed = RefusalReason::ALL.iter().zip(counts.failures).filter_map(|(reason, calls)| {
        CallOutcome::from_refusal(*reason).map(|outcome| (outcome, Micros::new(0), calls))
    });
    let errors = (CallOutcome::Failed, Micros::new(0), counts.server_errors);
    let all = answered.chain(failed).chain([errors]).filter(|(_, _, calls)| *calls > 0);
    let all: Vec<_> = all
        .map(|(outcome, latency, calls)| {
            (outcome, latency, u32::try_from(calls).unwrap_or(u32::MAX))
        })
        .collect();
    all.into_iter()
}

/// Returns the upper bound of a latency bucket. The last bucket is unbounded and counts as
/// twice the last bound.
fn bucket_upper_bound(i: usize) -> Micros {
    latency_bound(i).unwrap_or_else(|| {
        let last = latency_bound(LATENCY_BUCKETS - 2).unwrap_or_default();
        Micros::new(last.get() * 2)
    })
}
