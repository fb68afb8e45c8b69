//! Tests of the parts of a soak run that perform no input or output.

use std::time::Duration;

use almondsail_testkit::soak::{
    Action, Call, CallEnd, CallKind, Checker, NODES, Plan, Run, Step, Violation,
};
use http::StatusCode;

const UNAUTHORIZED: u16 = 401;
const UNAVAILABLE: u16 = 503;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a checker in whose run credentials 0 and 1 were withdrawn at 1 s, when 6 was added and
/// version 2 accepted.
fn checker() -> Checker {
    let mut checker = Checker::default();
    checker.timeline.configs.begin(at(0));
    checker.timeline.configs.change(at(1_000), 2, 1);
    checker
}

/// Records a call with `credential` at node 0, sent at `sent_ms`.
fn send(checker: &mut Checker, id: &str, kind: CallKind, credential: usize, sent_ms: u64) {
    let credential = match kind {
        CallKind::Marker(_) => None,
        CallKind::Idempotent | CallKind::Once => Some(format!("credential-{credential}")),
    };
    let (payload, sent) = (format!("{id} "), at(sent_ms));
    checker.sent(Call { id: id.to_owned(), kind, node: 0, credential, payload, sent });
}

fn run(id: &str, team: &str, ms: u64) -> Run {
    let (server, team) = ("server".to_owned(), team.to_owned());
    Run { call: id.to_owned(), server, team, has_credential: false, at: at(ms) }
}

/// The answer with `status` to the call `id`, as a server gives it.
fn answer(id: &str, status: u16) -> CallEnd {
    CallEnd::Answer {
        status: StatusCode::from_u16(status).expect("a status"),
        id: id.to_owned(),
        signature: format!("signed-{id}"),
        reason: String::new(),
        body: format!("server {id} "),
    }
}

fn found(checker: &mut Checker) -> Vec<Violation> {
    checker.check(Duration::MAX);
    checker.findings().iter().map(|finding| finding.violation).collect()
}

/// Checks one call with a credential of the team `acme` that was valid throughout.
fn found_of(kind: CallKind, runs: &[Run], end: CallEnd) -> Vec<Violation> {
    let mut checker = checker();
    send(&mut checker, "a", kind, 3, 10_000);
    runs.iter().for_each(|run| checker.ran(run.clone()));
    checker.ended("a", at(10_100), end);
    found(&mut checker)
}

// Guards against a checker that finds a fault where there is none.
#[test]
fn check_proper_calls() {
    let once = run("a", "acme", 10_010);
    assert_eq!(found_of(CallKind::Once, std::slice::from_ref(&once), answer("a", 200)), []);
    assert_eq!(found_of(CallKind::Idempotent, &[once.clone(), once], answer("a", 200)), []);
    assert_eq!(found_of(CallKind::Once, &[], answer("a", UNAVAILABLE)), []);
    assert_eq!(found_of(CallKind::Marker(2), &[run("a", "", 10_010)], answer("a", 200)), []);
}

// Guards against a checker that overlooks a call that ran too often, or for another team.
#[test]
fn check_runs() {
    let once = run("a", "acme", 10_010);
    let ended = || answer("a", 200);
    let twice = [once.clone(), once.clone()];
    assert_eq!(found_of(CallKind::Once, &twice, ended()), [Violation::RanTooOften]);
    let forged = run("a", "forged", 10_010);
    assert_eq!(found_of(CallKind::Once, &[forged], ended()), [Violation::WrongTeam]);
    let told = Run { has_credential: true, ..once.clone() };
    assert_eq!(found_of(CallKind::Once, &[told], ended()), [Violation::WrongTeam]);
    assert_eq!(found_of(CallKind::Once, &[], ended()), [Violation::AnsweredUnrun]);
    for status in [UNAUTHORIZED, 404, UNAVAILABLE] {
        let found = found_of(CallKind::Once, std::slice::from_ref(&once), answer("a", status));
        assert!(found.contains(&Violation::RefusedButRan), "{status}: {found:?}");
    }
}

// Guards against a checker that sees a run of a refused call only before the end of the call.
#[test]
fn check_run_after_refusal() {
    let mut checker = checker();
    send(&mut checker, "a", CallKind::Once, 3, 10_000);
    checker.ended("a", at(10_100), answer("a", UNAVAILABLE));
    checker.check(at(12_000));
    assert!(checker.findings().is_empty());
    checker.ran(run("a", "acme", 14_000));
    assert_eq!(found(&mut checker), [Violation::RefusedButRan]);
}

// Guards against a checker that takes the answer to another call, or a part of one.
#[test]
fn check_answers() {
    let ran = [run("a", "acme", 10_010)];
    for body in ["server b ", "server a", "other a ", ""] {
        let CallEnd::Answer { status, id, signature, reason, .. } = answer("a", 200) else {
            return;
        };
        let end = CallEnd::Answer { status, id, signature, reason, body: body.to_owned() };
        assert_eq!(found_of(CallKind::Once, &ran, end), [Violation::WrongAnswer], "{body}");
    }
    assert_eq!(found_of(CallKind::Once, &ran, answer("b", 200)), [Violation::WrongAnswer]);
    assert_eq!(found_of(CallKind::Once, &ran, answer("a", 600)), [Violation::UnexpectedStatus]);
    assert_eq!(found_of(CallKind::Once, &ran, CallEnd::Cut), [Violation::Cut]);
    for end in [answer("a", 502), answer("a", 504), CallEnd::TimedOut] {
        assert_eq!(found_of(CallKind::Once, &ran, end), [Violation::UnexplainedFailure]);
    }
}

// Guards against a checker that excuses a failure by a fault at another time, or none by one at the
// same time.
#[test]
fn check_failure_beside_fault() {
    for (pause, expected) in [(10_050, vec![]), (5_000, vec![Violation::UnexplainedFailure])] {
        let mut checker = checker();
        checker.timeline.nodes[NODES - 1].pauses.begin(at(pause));
        checker.timeline.nodes[NODES - 1].pauses.end(at(pause + 500));
        send(&mut checker, "a", CallKind::Once, 3, 10_000);
        checker.ended("a", at(10_100), answer("a", 502));
        assert_eq!(found(&mut checker), expected, "{pause}");
    }
}

// Guards against a checker that lets a planned stop cut calls that were sent in time, or that ran.
#[test]
fn check_cut_by_stop() {
    let cases = [(9_500, false, true), (7_500, false, false), (7_500, true, true)];
    for (stopped, has_run, is_found) in cases {
        let mut checker = checker();
        checker.timeline.nodes[0].stops.begin(at(stopped));
        send(&mut checker, "a", CallKind::Once, 3, 10_000);
        if has_run {
            checker.ran(run("a", "acme", 10_010));
        }
        checker.ended("a", at(10_100), CallEnd::Cut);
        assert_eq!(!found(&mut checker).is_empty(), is_found, "{stopped} {has_run}");
    }
}

// Guards against a checker that allows a withdrawn credential too long, or forbids a new one too
// early.
#[test]
fn check_credentials() {
    // Credential, time, whether the call ran, and what is found.
    let cases = [
        (0, 3_400, true, None),
        (0, 3_600, true, Some(Violation::WithdrawnAccepted)),
        (0, 3_600, false, None),
        (2, 2_400, false, None),
        (2, 2_600, false, Some(Violation::ValidRefused)),
        (6, 3_400, false, None),
        (6, 3_600, false, Some(Violation::ValidRefused)),
        (6, 3_600, true, None),
        (99, 100, true, Some(Violation::WithdrawnAccepted)),
    ];
    for (credential, sent, has_run, expected) in cases {
        let mut checker = checker();
        send(&mut checker, "a", CallKind::Once, credential, sent);
        if has_run {
            checker.ran(run("a", "acme", sent + 10));
        }
        checker.ended("a", at(sent + 20), answer("a", if has_run { 200 } else { UNAUTHORIZED }));
        assert_eq!(found(&mut checker), Vec::from_iter(expected), "{credential} {sent} {has_run}");
    }
}

// Guards against a checker that expects changes from a node without contact, or that goes on
// excusing it.
#[test]
fn check_contact() {
    for (sent, is_found) in [(6_400, false), (6_600, true)] {
        let mut checker = checker();
        checker.timeline.without_store.begin(at(900));
        checker.timeline.without_store.end(at(2_000));
        checker.timeline.nodes[0].pauses.begin(at(3_000));
        checker.timeline.nodes[0].pauses.end(at(4_000));
        send(&mut checker, "a", CallKind::Marker(2), 0, sent);
        checker.ended("a", at(sent + 10), answer("a", 404));
        assert_eq!(!found(&mut checker).is_empty(), is_found, "{sent}");
    }
}

// Guards against a checker that overlooks a configuration that is late, or an older one.
#[test]
fn check_markers() {
    let mut checker = checker();
    send(&mut checker, "late", CallKind::Marker(2), 0, 3_600);
    checker.ended("late", at(3_610), answer("late", 404));
    assert_eq!(found(&mut checker), [Violation::ConfigLate]);

    let mut checker = self::checker();
    send(&mut checker, "seen", CallKind::Marker(2), 0, 1_100);
    checker.ran(run("seen", "", 1_105));
    checker.ended("seen", at(1_110), answer("seen", 200));
    send(&mut checker, "older", CallKind::Marker(2), 0, 1_200);
    checker.ended("older", at(1_210), answer("older", 404));
    assert_eq!(found(&mut checker), [Violation::ConfigOlder]);
}

// Guards against a checker that lets a server that has left get calls.
#[test]
fn check_departure() {
    for (ran, is_found) in [(9_900, false), (10_100, true)] {
        let mut checker = checker();
        checker.timeline.departures.insert("server".to_owned(), at(7_000));
        send(&mut checker, "a", CallKind::Once, 3, 9_800);
        checker.ran(run("a", "acme", ran));
        checker.ended("a", at(10_200), answer("a", 200));
        assert_eq!(!found(&mut checker).is_empty(), is_found, "{ran}");
    }
}

// Guards against a plan that a seed does not determine, that has no order, or that never draws a
// kind of fault.
#[test]
fn draw_seeds() {
    let length = Duration::from_secs(20);
    let plans: Vec<Plan> = (0..40).map(|seed| Plan::draw(seed, length)).collect();
    assert_eq!(plans, (0..40).map(|seed| Plan::draw(seed, length)).collect::<Vec<_>>());
    assert!(plans.iter().all(|plan| plan.steps.is_sorted_by_key(|step| step.at)));
    let all: Vec<&Step> = plans.iter().flat_map(|plan| &plan.steps).collect();
    let drawn = |is_kind: fn(&Action) -> bool| all.iter().any(|step| is_kind(&step.action));
    assert!(drawn(|action| matches!(action, Action::Stop(..))));
    assert!(drawn(|action| matches!(action, Action::Kill(..))));
    assert!(drawn(|action| matches!(action, Action::Pause(_))));
    assert!(drawn(|action| matches!(action, Action::SetLink(..))));
    assert!(drawn(|action| matches!(action, Action::SetStore(_))));
    assert!(drawn(|action| matches!(action, Action::SetServer(..))));
    assert!(drawn(|action| matches!(action, Action::Depart(_))));
}
