//! Tests of recording, reporting and merging evidence.

mod rollout_common;

use almondsail_core::ids::Incarnation;
use almondsail_core::rollout::{
    CallOutcome, CallStats, Evidence, EvidenceRecorder, EvidenceReport, HostSpeed, LatencyCounts,
    MAX_WINDOWS, Window,
};
use almondsail_core::units::{Micros, Millis};
use rand::seq::SliceRandom;
use rollout_common::{START, after, name, report, rng, route, runner};

/// Returns the reports of three nodes that count `calls` and report when it is due. Each call has
/// a node, the time since the one before and whether it failed.
fn reports(calls: &[(u8, u16, bool)]) -> Vec<EvidenceReport> {
    let mut reports = Vec::new();
    for index in 0..3 {
        let node = name(&format!("node-{index}"));
        let incarnation = Incarnation::new(1);
        let mut recorder =
            EvidenceRecorder::new(name("bays"), node, incarnation, HostSpeed::REFERENCE);
        let mut now = START;
        for (_, wait, has_failed) in calls.iter().filter(|(at, _, _)| at % 3 == index) {
            now = now + Millis::new(u64::from(*wait) % 4_000);
            let outcome = if *has_failed { CallOutcome::Failed } else { CallOutcome::Answered };
            let latency = Micros::new(u64::from(*wait) * 100);
            recorder.record(now, &route(usize::from(*wait % 2)), &name("v1"), outcome, latency, 1);
            if recorder.is_due(now) {
                reports.push(recorder.report(now));
            }
        }
        reports.push(recorder.report(now));
    }
    reports
}

fn merged<'a>(reports: impl IntoIterator<Item = &'a EvidenceReport>) -> Evidence {
    let mut evidence = Evidence::default();
    for report in reports {
        evidence.merge(report, after(100_000_000));
    }
    evidence
}

/// Guards against evidence that depends on the order of reports or on repeated ones.
#[test]
fn merge_any_order() {
    fn property(calls: Vec<(u8, u16, bool)>, seed: u64) -> bool {
        let reports = reports(&calls);
        let mut shuffled: Vec<&EvidenceReport> = reports.iter().chain(&reports).collect();
        shuffled.shuffle(&mut rng(seed));
        merged(&reports) == merged(shuffled)
    }
    runner().quickcheck(property as fn(_, _) -> _);
}

/// Guards against calls that are counted twice or lost when a report arrives twice.
#[test]
fn merge_counts_each_call_once() {
    fn property(calls: Vec<(u8, u16, bool)>) -> bool {
        let reports = reports(&calls);
        let evidence = merged(reports.iter().chain(&reports));
        let total = |r| evidence.total(Window::default(), &route(r), &name("v1")).calls as usize;
        total(0) + total(1) == calls.len()
    }
    runner().quickcheck(property as fn(_) -> _);
}

/// Guards against old windows that displace newer ones, and against evidence that depends on the
/// order of reports once windows are dropped.
#[test]
fn merge_bounded_in_any_order() {
    fn property(windows: Vec<u16>, seed: u64) -> bool {
        let stats = CallStats { calls: 1, ..CallStats::default() };
        let cell = |w: &u16| (1_000 + u64::from(*w), route(0), "v1", stats);
        let mut reports: Vec<EvidenceReport> =
            windows.iter().map(|w| report("node-1", 1, [cell(w)])).collect();
        let in_order = merged(&reports);
        reports.shuffle(&mut rng(seed));
        in_order == merged(&reports) && in_order.len() as u64 <= MAX_WINDOWS
    }
    runner().quickcheck(property as fn(_, _) -> _);
}

/// Guards against a node with a wrong clock whose windows displace the evidence of other nodes.
#[test]
fn merge_window_of_wrong_clock() {
    let stats = CallStats { calls: 1, ..CallStats::default() };
    let now = Window::at(START).get();
    let mut evidence = Evidence::default();
    evidence.merge(&report("node-1", 1, [(now, route(0), "v1", stats)]), START);
    evidence.merge(&report("node-2", 1, [(now + 100_000, route(0), "v1", stats)]), START);
    assert_eq!(evidence.window(Window::new(now)).count(), 1);
    assert_eq!(evidence.len(), 1);
}

/// Guards against lost counts after a node restarts: its counters start at zero, so they must not
/// merge with the higher ones of its previous incarnation.
#[test]
fn merge_restarted_recorder() {
    let stats = CallStats { calls: 7, ..CallStats::default() };
    let now = Window::at(START).get();
    let first = report("node-1", 9, [(now, route(0), "v1", stats)]);
    let mut again = report("node-1", 1, [(now, route(0), "v1", stats)]);
    again.incarnation = Incarnation::new(2);
    let evidence = merged([&first, &again]);
    assert_eq!(evidence.total(Window::default(), &route(0), &name("v1")).calls, 14);
}

/// Guards against lost reports that are not counted as missing.
#[test]
fn missing_reports_after_loss() {
    let numbers = [1, 2, 5];
    let reports = numbers.map(|sequence| report("node-1", sequence, []));
    assert_eq!(merged(&reports).missing_reports(), 2);
}

/// Guards against repeated failures that are reported only at the next regular interval.
#[test]
fn is_due_at_failure_pattern() {
    let mut recorder = EvidenceRecorder::new(
        name("bays"),
        name("node-1"),
        Incarnation::new(1),
        HostSpeed::REFERENCE,
    );
    recorder.report(START);
    let mut record = |outcome| {
        recorder.record(START, &route(0), &name("v2"), outcome, Micros::new(10), 1);
        recorder.is_due(START)
    };
    assert!(!record(CallOutcome::Answered));
    assert!(!record(CallOutcome::Failed));
    assert!(!record(CallOutcome::Failed));
    assert!(record(CallOutcome::Failed));
    recorder.report(START);
    assert!(!recorder.is_due(after(4_999)));
    assert!(recorder.is_due(after(5_000)));
}

/// Guards against a new driver that doesn't get the older windows which nodes still hold.
#[test]
fn full_report_repeats_old_windows() {
    let mut recorder = EvidenceRecorder::new(
        name("bays"),
        name("node-1"),
        Incarnation::new(1),
        HostSpeed::REFERENCE,
    );
    for at in [0, 60_000, 600_000] {
        let outcome = CallOutcome::Answered;
        recorder.record(after(at), &route(0), &name("v1"), outcome, Micros::new(10), 1);
    }
    assert_eq!(recorder.report(after(600_000)).cells.len(), 1);
    assert_eq!(recorder.full_report(after(600_000)).cells.len(), 3);
}

/// Guards against timeouts and refusals that are counted as failures of the version.
#[test]
fn record_timeout_and_refusal() {
    let mut stats = CallStats::default();
    for outcome in [CallOutcome::TimedOut, CallOutcome::Refused] {
        stats.record(outcome, Micros::new(10), HostSpeed::REFERENCE, 1);
    }
    assert_eq!((stats.calls, stats.failures, stats.refused), (1, 0, 1));
    assert_eq!(stats.latency.counts()[LatencyCounts::BUCKETS - 1], 1);
}

/// Guards against answers of a slow host that are counted as slow answers of the version.
#[test]
fn scale_latency_of_slow_host() {
    let half = HostSpeed::new(500).expect("above zero");
    assert_eq!(half.scale(Micros::new(8_000)), Micros::new(4_000));
    assert_eq!(LatencyCounts::bucket(Micros::new(1_000)), 0);
    assert_eq!(LatencyCounts::bucket(Micros::new(1_001)), 1);
    assert_eq!(LatencyCounts::bucket(Micros::new(2_000)), 2);
    assert_eq!(LatencyCounts::bucket(Micros::new(u64::MAX)), LatencyCounts::BUCKETS - 1);
}

/// Guards against written speeds and windows that parse to other values, and against invalid
/// speeds that parse.
#[test]
fn display_round_trip() {
    fn property(speed: u32, window: u64) -> bool {
        let window = Window::new(window);
        HostSpeed::new(speed).is_none_or(|speed| speed.to_string().parse() == Ok(speed))
            && window.to_string().parse() == Ok(window)
    }
    runner().quickcheck(property as fn(_, _) -> _);
    for text in ["0.000x", "1.0x", "1x", "+1.000x", "5000000.000x"] {
        assert!(text.parse::<HostSpeed>().is_err(), "{text}");
    }
}

/// Guards against a report to a new driver that is larger than a frame between nodes.
#[test]
fn full_report_is_bounded() {
    let mut recorder = EvidenceRecorder::new(
        name("bays"),
        name("node-1"),
        Incarnation::new(1),
        HostSpeed::REFERENCE,
    );
    for window in 0..300 {
        for index in 0..20 {
            let (now, outcome) = (after(window * 10_000), CallOutcome::Answered);
            recorder.record(now, &route(index), &name("v1"), outcome, Micros::new(10), 1);
        }
    }
    let report = recorder.full_report(after(3_000_000));
    assert_eq!(report.cells.len(), 2_048);
    assert!(report.cells.iter().any(|(label, _)| label.window == Window::at(after(2_990_000))));
}
