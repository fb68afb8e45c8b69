//! Tests that ids and quantities parse from the text that they display.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use almondsail_core::config::{PathPrefix, Priority, RolloutPhase};
use almondsail_core::control::RequestId;
use almondsail_core::ids::{
    CallKey, ConfigVersion, DataCentre, Digest, HostName, Incarnation, NodeId, OperatorName,
    QuotaRequestId, Region, RouteName, ServiceName, TeamName, VersionName, WriteId,
};
use almondsail_core::peers::{BackendState, PeerStatus};
use almondsail_core::quota::TokenCount;
use almondsail_core::report::Minute;
use almondsail_core::store::Revision;
use almondsail_core::units::{
    ByteCount, CallRate, CallsPerSecond, Instant, Micros, Millis, PerMille, Percent, UnixMillis,
};
use almondsail_core::{RefusalReason, RetryReason, Verdict};
use almondsail_seeded::properties;

/// Returns whether the text of `value` parses to the same value.
fn round_trips<T>(value: T) -> bool
where
    T: Display + FromStr + PartialEq + Debug,
    T::Err: Debug,
{
    value.to_string().parse::<T>().is_ok_and(|parsed| parsed == value)
}

/// Returns whether `text` is rejected, or parses to a value that displays as `text`.
fn is_canonical<T: Display + FromStr>(text: &str) -> bool {
    text.parse::<T>().map_or(true, |value| value.to_string() == text)
}

properties! {
    /// Guards against a number that displays in a form that does not parse.
    fn display_numbers(n: u64) -> bool {
        round_trips(ConfigVersion::new(n))
            && round_trips(Incarnation::new(n))
            && round_trips(Revision::new(n))
            && round_trips(RequestId::new(n))
            && round_trips(ByteCount::new(n))
            && round_trips(CallsPerSecond::new(n))
            && round_trips(CallRate::from_milli(n))
            && round_trips(Millis::new(n))
            && round_trips(Micros::new(n))
            && round_trips(Instant::new(n))
            && round_trips(UnixMillis::new(n))
            && round_trips(Minute::new(n))
            && round_trips(QuotaRequestId::new(n))
            && round_trips(TokenCount::new(n as u32))
            && round_trips(Percent::new(n as u32))
            && PerMille::new((n % 1_001) as u16).is_some_and(round_trips)
    }

    /// Guards against hexadecimal text that loses a digit, such as a leading zero.
    fn display_bytes(seed: Vec<u8>) -> bool {
        let digest = Digest::of(&seed);
        let mut bytes = [0; WriteId::BYTES];
        bytes.copy_from_slice(&digest.as_bytes()[..WriteId::BYTES]);
        round_trips(digest) && round_trips(WriteId::new(bytes))
    }

    /// Guards against a text that parses but displays differently, and against a panic
    /// on arbitrary text.
    fn parse_any_text(text: String) -> bool {
        is_canonical::<ServiceName>(&text)
            && is_canonical::<NodeId>(&text)
            && is_canonical::<CallKey>(&text)
            && is_canonical::<PathPrefix>(&text)
            && is_canonical::<Digest>(&text)
            && is_canonical::<WriteId>(&text)
            && is_canonical::<Verdict>(&text)
    }
}

/// Guards against a name type that accepts other texts than the remaining ones.
#[test]
fn parse_names() {
    fn check<T: Display + FromStr>() {
        for text in ["a", "bays-1", "v2.0.1", &"x".repeat(64)] {
            assert_eq!(text.parse::<T>().map(|name| name.to_string()).ok().as_deref(), Some(text));
        }
        for text in ["", "-a", "a-", "A", "a b", "a/b", "a\n", "\u{e9}", &"x".repeat(65)] {
            assert!(text.parse::<T>().is_err(), "{text:?} was accepted");
        }
    }
    check::<DataCentre>();
    check::<HostName>();
    check::<TeamName>();
    check::<NodeId>();
    check::<OperatorName>();
    check::<Region>();
    check::<RouteName>();
    check::<ServiceName>();
    check::<VersionName>();
}

/// Guards against two variants of an enum with the same text.
#[test]
fn display_closed_sets() {
    assert!(Verdict::ALL.into_iter().all(round_trips));
    assert!(RefusalReason::ALL.into_iter().all(round_trips));
    assert!(RetryReason::ALL.into_iter().all(round_trips));
    assert!(Priority::ALL.into_iter().all(round_trips));
    assert!(RolloutPhase::ALL.into_iter().all(round_trips));
    assert!(BackendState::ALL.into_iter().all(round_trips));
    assert!(PeerStatus::ALL.into_iter().all(round_trips));
}

/// Guards against a share above 100% and against a share that loses its tenths.
#[test]
fn parse_share() {
    assert_eq!("2.5%".parse(), Ok(PerMille::new(25).unwrap()));
    assert_eq!("100%".parse(), Ok(PerMille::MAX));
    for text in ["100.1%", "-1%", "1.25%", "%", "5", "1.%", ".5%"] {
        assert!(text.parse::<PerMille>().is_err(), "{text:?} was accepted");
    }
}
