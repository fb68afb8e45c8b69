//! A sequential test whose error rate holds however often it is evaluated.

use crate::rollout::{BadCalls, Comparison};

/// The ratio of the new version's rate of bad calls to the old version's that is tolerated.
///
/// Hosts and the calls that they get differ a little; 1.5 covers that.
const TOLERATED_RATIO: f64 = 1.5;
/// The ratios of the rates of bad calls that the test looks for, with equal weights.
const SUSPECTED_RATIOS: [f64; 4] = [2.0, 5.0, 20.0, 100.0];
/// The factors over a tolerated rate that the test against that rate looks for, with equal weights.
const SUSPECTED_FACTORS: [f64; 4] = [2.0, 4.0, 10.0, 30.0];

/// An e-process: evidence that the new version has more bad calls than tolerated.
///
/// If the new version is no worse, its number among the `m` bad calls of a stratum is binomial
/// with a known bound on the probability, whatever rate the versions share. The product of the
/// likelihood ratios over the strata is then a nonnegative supermartingale; for calls drawn
/// without replacement, Hoeffding's convex ordering keeps it one. The process is a mixture over
/// the ratios and over the stratum in which the fault began, with weights that sum to one, so it
/// also detects faults that begin late. By Ville's inequality it ever exceeds `1 / a` with
/// probability `a` at most.
#[derive(Debug, Clone, PartialEq)]
pub struct EProcess {
    /// The natural logarithm of the evidence for each ratio or factor, before the equal weights.
    ln_parts: [f64; 4],
}

impl Default for EProcess {
    fn default() -> Self {
        Self { ln_parts: [f64::NEG_INFINITY; 4] }
    }
}

impl EProcess {
    /// Adds a stratum that begins `offset` windows, or strata, after the first possible one.
    ///
    /// Each offset may be given once. Which calls belong to the stratum must not depend on their
    /// outcomes.
    pub fn compare(&mut self, offset: u64, counts: Comparison) {
        let is_informative = counts.new_calls > 0.0
            && counts.old_calls > 0.0
            && counts.new_bad + counts.old_bad > 0.0;
        let share = |ratio: f64| {
            let weighted = ratio * counts.new_calls;
            weighted / (weighted + counts.old_calls)
        };
        let tolerated = share(TOLERATED_RATIO);
        self.update(offset, SUSPECTED_RATIOS, |ratio| {
            if !is_informative {
                return 0.0;
            }
            let suspected = share(ratio);
            let on_new = counts.new_bad * (suspected / tolerated).ln();
            on_new + counts.old_bad * ((1.0 - suspected) / (1.0 - tolerated)).ln()
        });
    }

    /// Adds a stratum in which only the new version had calls and compares its rate of bad calls
    /// with the rate `tolerated`.
    pub fn compare_with_rate(&mut self, offset: u64, counts: BadCalls, tolerated: f64) {
        let (calls, bad) = (counts.calls as f64, counts.bad as f64);
        // (1 + p(f - 1))^n is at most exp(n p (f - 1)), so this is an e-value for each rate p up to
        // the tolerated one.
        self.update(offset, SUSPECTED_FACTORS, |factor| {
            bad * factor.ln() - calls * tolerated * (factor - 1.0)
        });
    }

    /// Returns the natural logarithm of the evidence; negative infinity before the first stratum.
    pub fn ln_value(&self) -> f64 {
        let sum = self.ln_parts.into_iter().fold(f64::NEG_INFINITY, ln_add);
        sum - (self.ln_parts.len() as f64).ln()
    }

    fn update(&mut self, offset: u64, suspected: [f64; 4], ln_ratio: impl Fn(f64) -> f64) {
        // The weights 1 / ((k + 1)(k + 2)) sum to one.
        let k = offset as f64;
        let ln_weight = -((k + 1.0) * (k + 2.0)).ln();
        for (part, value) in self.ln_parts.iter_mut().zip(suspected) {
            *part = ln_add(*part, ln_weight) + ln_ratio(value);
        }
    }
}

/// Returns the logarithm of the sum of two numbers that are given by their logarithms.
fn ln_add(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY { high } else { high + (low - high).exp().ln_1p() }
}
