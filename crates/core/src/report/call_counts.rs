//! Counts of a member's calls by how they ended.

/// Counts of a member's calls by how they ended. Each call is in exactly one of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Answered in full before the deadline.
    pub delivered: u64,
    /// Not answered before the deadline.
    pub late: u64,
    /// Refused, and certainly not run.
    pub refused: u64,
    /// Non-idempotent calls that were not answered and may have run.
    pub in_doubt: u64,
}

impl CallCounts {
    /// The number of calls.
    pub const fn total(&self) -> u64 {
        self.delivered
            .saturating_add(self.late)
            .saturating_add(self.refused)
            .saturating_add(self.in_doubt)
    }

    /// Adds the counts of other calls.
    pub const fn add(&mut self, other: &Self) {
        self.delivered = self.delivered.saturating_add(other.delivered);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
        self.in_doubt = self.in_doubt.saturating_add(other.in_doubt);
    }

    /// Takes the higher of each count: the later state of the same counters.
    pub fn join(&mut self, other: &Self) {
        self.delivered = self.delivered.max(other.delivered);
        self.late = self.late.max(other.late);
        self.refused = self.refused.max(other.refused);
        self.in_doubt = self.in_doubt.max(other.in_doubt);
    }
}
