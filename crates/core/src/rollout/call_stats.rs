//! Counts of calls by outcome and latency.

use crate::rollout::{CallOutcome, HostSpeed, LatencyCounts};
use crate::units::Micros;

/// Counts by outcome and latency of the calls of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallStats {
    /// The number of calls that were sent to the backend server.
    pub calls: u32,
    /// The number of sent calls that failed; at most `calls`.
    pub failures: u32,
    /// The number of calls refused before they ran; not included in `calls`.
    pub refused: u32,
    /// The latencies of the sent calls that did not fail, scaled to the reference host.
    pub latency: LatencyCounts,
}

impl CallStats {
    /// Counts `calls` calls that ended as `outcome` after `latency` on a host of `speed`.
    pub fn record(&mut self, outcome: CallOutcome, latency: Micros, speed: HostSpeed, calls: u32) {
        match outcome {
            CallOutcome::Refused => self.refused = self.refused.saturating_add(calls),
            CallOutcome::Answered => self.latency.record(speed.scale(latency), calls),
            CallOutcome::TimedOut => self.latency.record_timeouts(calls),
            CallOutcome::Failed => self.failures = self.failures.saturating_add(calls),
        }
        if outcome != CallOutcome::Refused {
            self.calls = self.calls.saturating_add(calls);
        }
    }

    /// Adds the counts of a disjoint set of calls.
    pub fn add(&mut self, other: &Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.failures = self.failures.saturating_add(other.failures);
        self.refused = self.refused.saturating_add(other.refused);
        self.latency.add(&other.latency);
    }

    /// Merges another state of the same counters by keeping the higher, later value of each.
    pub fn join(&mut self, other: &Self) {
        self.calls = self.calls.max(other.calls);
        self.failures = self.failures.max(other.failures);
        self.refused = self.refused.max(other.refused);
        self.latency.join(&other.latency);
    }

    /// Returns the share of refused calls among all calls, from 0 to 1.
    pub fn refused_share(&self) -> f64 {
        let all = f64::from(self.calls) + f64::from(self.refused);
        if all == 0.0 { 0.0 } else { f64::from(self.refused) / all }
    }
}
