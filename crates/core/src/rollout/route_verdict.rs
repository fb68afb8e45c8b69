//! The verdict on the new version on one route.

use std::fmt;

/// The way in which the new version is worse than the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Symptom {
    /// Calls to the new version fail more often.
    Failing,
    /// The new version answers more slowly.
    Slow,
}

/// The verdict on the new version on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteVerdict {
    /// There were too few calls since the last step, or the evidence reached the warning limit.
    Inconclusive,
    /// There were enough calls since the last step, and the evidence is below the warning limit.
    NoWorse,
    /// The evidence that the new version is worse has reached the limit.
    Worse(Symptom),
}

impl fmt::Display for Symptom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failing => "failing",
            Self::Slow => "slow",
        })
    }
}

impl fmt::Display for RouteVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Inconclusive => f.write_str("not enough evidence"),
            Self::NoWorse => f.write_str("no worse"),
            Self::Worse(symptom) => write!(f, "worse: {symptom}"),
        }
    }
}
