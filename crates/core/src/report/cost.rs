//! The cost of the mesh and its division among teams.

use std::collections::BTreeMap;

use crate::ids::TeamName;
use crate::units::{ByteCount, Micros, PerMille};

/// The part of each cost that all teams share equally, because peers, configuration
/// and heartbeats cost the same however few calls a team has.
pub const FIXED_PART: PerMille = match PerMille::new(250) {
    Some(part) => part,
    None => PerMille::MAX,
};

/// The resources that the mesh consumes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time of the node processes.
    pub cpu: Micros,
    /// Bytes sent between nodes, counted by both the sender and the receiver.
    pub bytes: ByteCount,
    /// Number of requests to the store.
    pub store_calls: u64,
}

impl Cost {
    /// Adds `other` to this cost. Saturates at `u64::MAX`.
    pub const fn add(&mut self, other: &Self) {
        self.cpu = Micros::new(self.cpu.get().saturating_add(other.cpu.get()));
        self.bytes = ByteCount::new(self.bytes.get().saturating_add(other.bytes.get()));
        self.store_calls = self.store_calls.saturating_add(other.store_calls);
    }

    /// Returns the cost since `earlier`, a previous reading of the same counters.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            cpu: Micros::new(self.cpu.get().saturating_sub(earlier.cpu.get())),
            bytes: ByteCount::new(self.bytes.get().saturating_sub(earlier.bytes.get())),
            store_calls: self.store_calls.saturating_sub(earlier.store_calls),
        }
    }

    /// Divides this cost among the teams of `calls`: [`FIXED_PART`] equally and the rest
    /// in proportion to their numbers of calls, or equally if there were no calls.
    ///
    /// The shares add up to exactly the cost. The remainder of each division goes to the
    /// first teams by name, one unit each.
    pub fn share(&self, calls: &BTreeMap<TeamName, u64>) -> BTreeMap<TeamName, Self> {
        let weights: Vec<u64> = calls.values().copied().collect();
        let cpu = split(self.cpu.get(), &weights);
        let bytes = split(self.bytes.get(), &weights);
        let store_calls = split(self.store_calls, &weights);
        let share = |(i, team): (usize, &TeamName)| {
            let cpu = Micros::new(cpu[i]);
            let bytes = ByteCount::new(bytes[i]);
            (team.clone(), Self { cpu, bytes, store_calls: store_calls[i] })
        };
        calls.keys().enumerate().map(share).collect()
    }
}

/// Divides `amount` by the rule of [`Cost::share`]; `weights` are numbers of calls.
fn split(amount: u64, weights: &[u64]) -> Vec<u64> {
    let whole = u128::from(PerMille::MAX.get());
    let fixed = (u128::from(amount) * u128::from(FIXED_PART.get()) / whole) as u64;
    let by_calls = split_by_weight(amount - fixed, weights);
    let equally = split_by_weight(fixed, &vec![1; weights.len()]);
    by_calls.into_iter().zip(equally).map(|(a, b)| a + b).collect()
}

fn split_by_weight(amount: u64, weights: &[u64]) -> Vec<u64> {
    let total: u128 = weights.iter().map(|&w| u128::from(w)).sum();
    if total == 0 {
        return if weights.is_empty() {
            Vec::new()
        } else {
            split_by_weight(amount, &vec![1; weights.len()])
        };
    }
    // Each part is at most `amount`, so it fits in 64 bits.
    let part = |&weight: &u64| (u128::from(amount) * u128::from(weight) / total) as u64;
    let mut parts: Vec<u64> = weights.iter().map(part).collect();
    let mut rest = amount - parts.iter().sum::<u64>();
    for part in parts.iter_mut().take(rest as usize) {
        *part += 1;
        rest -= 1;
    }
    debug_assert_eq!(rest, 0, "rounding leaves less than one unit for each team");
    parts
}
