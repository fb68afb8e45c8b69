//! Counters of quotas.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use almondsail_core::RefusalReason;
use almondsail_core::ids::TeamName;
use almondsail_core::quota::{GrantProblem, QuotaGrant, TokenCount};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Number of teams with labels of their own; the others count together.
const MAX_TEAM_LABELS: usize = 200;
/// The label of the teams beyond [`MAX_TEAM_LABELS`].
const OTHER_TEAMS: &str = "other";

/// Why a datagram about quotas was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DropReason {
    /// It can't be read, or has a number out of range.
    Malformed,
    /// The socket did not take it.
    NotSent,
    /// The grant is not an answer to a pending request.
    Grant(GrantProblem),
}

/// Counters of granted, denied and refused tokens, and of dropped datagrams.
#[derive(Debug)]
pub(crate) struct QuotaMetrics {
    granted: Counter<u64>,
    denied: Counter<u64>,
    local_share: Counter<u64>,
    refused: Counter<u64>,
    dropped: Counter<u64>,
    labels: Mutex<BTreeSet<TeamName>>,
}

impl QuotaMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        Self {
            granted: counter(
                "fleet_quota_granted",
                "Tokens that this node granted as the owner of a team's quota",
            ),
            denied: counter(
                "fleet_quota_denied",
                "Requests for tokens that this node denied as the owner of a team's quota",
            ),
            local_share: counter(
                "fleet_quota_local_share",
                "Calls admitted by this node's share of a quota, because the owner did not answer",
            ),
            refused: counter("fleet_quota_refused", "Calls refused because of a quota"),
            dropped: counter("fleet_quota_dropped", "Datagrams about quotas that were dropped"),
            labels: Mutex::default(),
        }
    }

    /// Counts the answer that this node gave to a request.
    pub(crate) fn count_answer(&self, grant: &QuotaGrant) {
        if grant.granted > TokenCount::default() {
            self.granted.add(grant.granted.get().into(), &[self.team(&grant.team)]);
        } else if grant.is_kept() {
            self.denied.add(1, &[self.team(&grant.team)]);
        }
    }

    pub(crate) fn count_local_share(&self, team: &TeamName) {
        self.local_share.add(1, &[self.team(team)]);
    }

    pub(crate) fn count_refused(&self, team: &TeamName, reason: RefusalReason) {
        self.refused.add(1, &[self.team(team), KeyValue::new("reason", reason.as_str())]);
    }

    pub(crate) fn count_dropped(&self, reason: DropReason) {
        let reason = match reason {
            DropReason::Malformed => "malformed",
            DropReason::NotSent => "not_sent",
            DropReason::Grant(problem) => problem.as_str(),
        };
        self.dropped.add(1, &[KeyValue::new("reason", reason)]);
    }

    fn team(&self, team: &TeamName) -> KeyValue {
        let mut labels = self.labels.lock().unwrap_or_else(PoisonError::into_inner);
        let is_label = labels.contains(team)
            || (labels.len() < MAX_TEAM_LABELS && labels.insert(team.clone()));
        let label = if is_label { team.as_str() } else { OTHER_TEAMS };
        KeyValue::new("team", label.to_owned())
    }
}
