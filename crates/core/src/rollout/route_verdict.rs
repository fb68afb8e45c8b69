//! The verdict on a version on one route.

use std::fmt;

/// How a version is worse than the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Symptom {
    /// It fails more often.
    Failing,
    /// It answers more slowly.
    Slow,
}

/// The verdict on a version on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteVerdict {
    /// Too few calls since the last step, or some evidence against the new version.
    Inconclusive,
    /// Enough calls since the last step, and no evidence against the new version.
    NoWorse,
    /// The new version is worse.
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
