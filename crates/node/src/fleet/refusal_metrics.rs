//! Metrics of the calls that a node refuses in front of its backend server.

use std::sync::{Arc, Mutex, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::fleet::CallRequirements;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use crate::fleet::team_labels::TeamLabels;

/// Counters of the calls that a node refuses in front of its backend server.
#[derive(Debug, Clone)]
pub(crate) struct RefusalMetrics {
    by_rank: Counter<u64>,
    by_team: Counter<u64>,
    /// Locked for single look-ups.
    labels: Arc<Mutex<TeamLabels>>,
}

impl RefusalMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self {
            by_rank: meter
                .u64_counter("fleet_queue_refusals")
                .with_description(
                    "Calls refused in front of the backend server, by reason and rank",
                )
                .build(),
            by_team: meter
                .u64_counter("fleet_team_refusals")
                .with_description("Calls refused in front of the backend server, by team")
                .build(),
            labels: Arc::default(),
        }
    }

    /// Counts a call that was refused without having reached the backend server.
    pub(crate) fn count(&self, reason: RefusalReason, call: &CallRequirements) {
        let rank = format!("{}.{}", call.rank.team, call.rank.route);
        let reason = KeyValue::new("reason", reason.as_str());
        self.by_rank.add(1, &[reason, KeyValue::new("rank", rank)]);
        if let Some(team) = &call.team {
            let mut labels = self.labels.lock().unwrap_or_else(PoisonError::into_inner);
            self.by_team.add(1, &[KeyValue::new("team", labels.label(team))]);
        }
    }
}
