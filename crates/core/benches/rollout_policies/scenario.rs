//! The scenarios: the faults of the new version, the load and the hosts.

use std::fmt;

use rand::Rng;
use rand::rngs::SmallRng;

/// The probabilities and the latency factor of calls to one version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Behaviour {
    /// The probability that a call fails.
    pub(crate) failure_rate: f64,
    /// The probability that a call is refused before it runs.
    pub(crate) refusal_rate: f64,
    /// The factor on the latency of a call.
    pub(crate) latency_factor: f64,
}

/// A combination of faults of the new version, load and hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    BadAtOnce,
    BadMildly,
    BadFromEightMinutes,
    BadFromAnHour,
    BadUnderLoad,
    BadOnOneOfTwenty,
    SlowByFour,
    SlowByTwoAndAHalf,
    BadNonIdempotent,
    BadFewCalls,
    Good,
    GoodNoisy,
    GoodUnderOverload,
    GoodOverloadAfterwards,
    GoodFaultAfterwards,
    GoodUnequalKnown,
    GoodUnequalUnknown,
    GoodFewCalls,
}

/// The failure rate of a good version.
const GOOD_FAILURE_RATE: f64 = 0.001;
/// When the new version of [`Scenario::BadFromEightMinutes`] becomes bad, in seconds.
const EIGHT_MINUTES: u64 = 480;
/// When the new version of [`Scenario::BadFromAnHour`] becomes bad, in seconds.
const HOUR: u64 = 3_600;
/// When the rate of calls drops to a quarter, in seconds; this keeps the benchmark short.
const QUIET_FROM: u64 = 1_800;
/// The time of high load during the rollout, in seconds.
const HIGH_LOAD: std::ops::Range<u64> = 300..900;
/// The time of an overload after the rollout, in seconds.
const LATE_OVERLOAD: std::ops::Range<u64> = 2_700..3_000;

impl Scenario {
    pub(crate) const ALL: [Self; 18] = [
        Self::BadAtOnce,
        Self::BadMildly,
        Self::BadFromEightMinutes,
        Self::BadFromAnHour,
        Self::BadUnderLoad,
        Self::BadOnOneOfTwenty,
        Self::SlowByFour,
        Self::SlowByTwoAndAHalf,
        Self::BadNonIdempotent,
        Self::BadFewCalls,
        Self::Good,
        Self::GoodNoisy,
        Self::GoodUnderOverload,
        Self::GoodOverloadAfterwards,
        Self::GoodFaultAfterwards,
        Self::GoodUnequalKnown,
        Self::GoodUnequalUnknown,
        Self::GoodFewCalls,
    ];

    pub(crate) const fn is_bad(self) -> bool {
        (self as usize) < Self::Good as usize
    }

    pub(crate) const fn routes(self) -> usize {
        match self {
            Self::BadOnOneOfTwenty => 20,
            Self::BadFewCalls | Self::GoodFewCalls => 1,
            _ => 4,
        }
    }

    /// Returns the number of idempotent routes, which come before the others.
    pub(crate) const fn idempotent_routes(self) -> usize {
        self.routes().div_ceil(2)
    }

    /// Returns the number of calls of each route within the window that begins at `second`.
    pub(crate) fn calls(self, second: u64) -> u32 {
        match self {
            Self::BadFewCalls | Self::GoodFewCalls => 1,
            Self::BadOnOneOfTwenty => 40,
            Self::BadUnderLoad if HIGH_LOAD.contains(&second) => 200,
            _ if second >= QUIET_FROM => 25,
            _ => 100,
        }
    }

    /// Returns the behaviour of calls to the new or the old version on `route` at `second`.
    pub(crate) fn behaviour(self, is_new: bool, route: usize, second: u64) -> Behaviour {
        let usual =
            Behaviour { failure_rate: GOOD_FAILURE_RATE, refusal_rate: 0.0, latency_factor: 1.0 };
        let failing_at = |failure_rate| Behaviour { failure_rate, ..usual };
        let overloaded = Behaviour { failure_rate: 0.3, refusal_rate: 0.1, latency_factor: 8.0 };
        match self {
            Self::GoodNoisy => failing_at(0.03),
            Self::GoodUnderOverload if HIGH_LOAD.contains(&second) => overloaded,
            Self::GoodOverloadAfterwards if LATE_OVERLOAD.contains(&second) => overloaded,
            Self::BadUnderLoad if HIGH_LOAD.contains(&second) => {
                Behaviour { latency_factor: 2.0, ..failing_at(if is_new { 0.2 } else { 0.01 }) }
            }
            Self::GoodFaultAfterwards if LATE_OVERLOAD.contains(&second) => failing_at(0.3),
            _ if !is_new || !self.is_affected(route, second) => usual,
            Self::BadMildly => failing_at(0.02),
            Self::SlowByFour => Behaviour { latency_factor: 4.0, ..usual },
            Self::SlowByTwoAndAHalf => Behaviour { latency_factor: 2.5, ..usual },
            Self::BadFewCalls => failing_at(0.5),
            _ => failing_at(0.3),
        }
    }

    /// Returns whether the new version is bad on `route` at `second`.
    pub(crate) fn is_affected(self, route: usize, second: u64) -> bool {
        match self {
            Self::BadFromEightMinutes => second >= EIGHT_MINUTES,
            Self::BadFromAnHour => second >= HOUR,
            Self::BadUnderLoad => HIGH_LOAD.contains(&second),
            Self::BadOnOneOfTwenty => route == 7,
            Self::BadNonIdempotent => route >= self.idempotent_routes(),
            _ => self.is_bad(),
        }
    }

    /// Returns the factor on the latencies of a host, drawn anew for each host.
    pub(crate) fn host_latency_factor(self, rng: &mut SmallRng) -> f64 {
        match self {
            Self::GoodUnequalKnown | Self::GoodUnequalUnknown => {
                [1.0, 2.0, 4.0][rng.random_range(0..3)]
            }
            _ => 1.0,
        }
    }

    pub(crate) const fn knows_host_speed(self) -> bool {
        matches!(self, Self::GoodUnequalKnown)
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadAtOnce => "bad: 30% fail at once",
            Self::BadMildly => "bad: 2% fail at once",
            Self::BadFromEightMinutes => "bad: 30% fail from 8 min on",
            Self::BadFromAnHour => "bad: 30% fail from 60 min on",
            Self::BadUnderLoad => "bad: 20% fail under load",
            Self::BadOnOneOfTwenty => "bad: 30% fail on 1 route of 20",
            Self::SlowByFour => "bad: 4 times as slow",
            Self::SlowByTwoAndAHalf => "bad: 2.5 times as slow",
            Self::BadNonIdempotent => "bad: 30% of non-idempotent calls fail",
            Self::BadFewCalls => "bad: 50% fail, 1 call in 10 s",
            Self::Good => "good: identical",
            Self::GoodNoisy => "good: 3% fail on both",
            Self::GoodUnderOverload => "good: overload of both in the ramp",
            Self::GoodOverloadAfterwards => "good: overload after the ramp",
            Self::GoodFaultAfterwards => "good: 30% fail after the ramp, as the old one would",
            Self::GoodUnequalKnown => "good: unequal hosts, speed known",
            Self::GoodUnequalUnknown => "good: unequal hosts, speed unknown",
            Self::GoodFewCalls => "good: 1 call in 10 s",
        })
    }
}
