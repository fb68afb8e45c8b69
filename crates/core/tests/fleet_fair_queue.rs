//! The queue in front of a backend server where teams share it.

mod fleet_common;
mod queue_replay;

use std::collections::BTreeMap;

use almondsail_core::RefusalReason;
use almondsail_core::fleet::{
    Admission, CallQueue, CallRank, CallRequirements, CallValue, FairShare, QueuePolicy,
    QueueTicket, QueueWakeup, ShareHolder,
};
use almondsail_core::units::{Instant, Micros, Millis};
use almondsail_seeded::properties;
use fleet_common::{at, requirements};
use queue_replay::{Pattern, Policy, Replay, Report, Site};

/// The sites with teams.
const SITES: [Site; 3] = [Site::Booking, Site::RankedTeams, Site::Lookup];
/// The lowest ratio of served calls of a kind or team, relative to that of all calls.
const MIN_RELATIVE_RATIO: f64 = 0.25;
/// A kind of call may be served less often than a less urgent one by this much.
const MAX_INVERSION: f64 = 0.05;
/// Teams with fewer calls are served by chance alone.
const MIN_TEAM_CALLS: u32 = 40;

fn replay(site: Site, pattern: Pattern) -> Report {
    Replay { site, pattern, policy: Policy::Product, seed: 1 }.run()
}

/// Checks the rules that hold under any load.
fn check_ratios(site: Site, report: &Report) {
    let lowest = report.lowest_relative(MIN_TEAM_CALLS);
    assert!(lowest >= MIN_RELATIVE_RATIO, "{site:?}: {lowest} {report:?}");
    let kinds = site.kinds();
    for (kind, outcomes) in kinds.iter().zip(&report.kinds).filter(|(kind, _)| !kind.is_made) {
        for (other, others) in kinds.iter().zip(&report.kinds) {
            let is_inverted = other.priority > kind.priority
                && outcomes.served() + MAX_INVERSION < others.served();
            assert!(!is_inverted, "{} {outcomes:?}, {} {others:?}", kind.name, other.name);
        }
    }
}

/// Guards against a team that slows all others. The largest team makes seven times its usual calls;
/// without teams, the queue serves 63% (booking) and 58% (lookup) of the other teams' calls.
#[test]
fn replay_large_team_surges() {
    for site in SITES {
        let report = replay(site, Pattern::LargeTeam);
        let others = report.other_teams(Some(0));
        assert!(others.served() >= 0.95, "{site:?}: {others:?}");
        check_ratios(site, &report);
    }
}

/// Guards against a surge that takes the slots of others though there is nearly room for all.
#[test]
fn replay_medium_team_surges() {
    for site in SITES {
        let report = replay(site, Pattern::MediumTeam);
        let others = report.other_teams(Pattern::MediumTeam.surging_team());
        assert!(others.served() >= 0.98, "{site:?}: {others:?}");
        check_ratios(site, &report);
    }
}

/// Guards against a burst of the least urgent kind, 2.5 times its usual calls, that delays the
/// urgent ones.
#[test]
fn replay_less_urgent_burst() {
    for site in [Site::Booking, Site::Lookup] {
        let report = replay(site, Pattern::LessUrgent);
        let urgent = report.kinds[0];
        assert!(urgent.value() >= 0.96, "{site:?}: {urgent:?}");
        check_ratios(site, &report);
    }
    check_ratios(Site::RankedTeams, &replay(Site::RankedTeams, Pattern::LessUrgent));
}

/// Guards against an overload of twice the capacity in which calls of running calls are lost, a kind
/// or team is starved, or most calls are late.
#[test]
fn replay_twice_the_capacity_teams() {
    for site in SITES {
        let report = replay(site, Pattern::Twice);
        let made = report.kinds.last().unwrap();
        assert!(made.value() >= 0.95, "{site:?}: {made:?}");
        assert!(report.all().value() >= 0.62, "{site:?}: {report:?}");
        check_ratios(site, &report);
    }
}

/// Guards against a flood of calls that running calls make, ten times the usual, which starves the
/// calls of teams if made calls always go first.
#[test]
fn replay_flood_of_made_calls() {
    for site in SITES {
        let report = replay(site, Pattern::Made);
        let teams = report.other_teams(None);
        assert!(teams.served() >= 0.4, "{site:?}: {teams:?}");
        check_ratios(site, &report);
    }
}

/// Guards against a server that is slow for a while and then serves no call, or only some kinds.
#[test]
fn replay_slow_server() {
    for site in SITES {
        let report = replay(site, Pattern::Slow);
        assert!(report.all().value() >= 0.3, "{site:?}: {report:?}");
        check_ratios(site, &report);
    }
}

/// Returns a queue of `slots` whose calls of the routes `a` and `long` have run for 100 ms and
/// 400 ms.
fn queue(slots: u32) -> CallQueue {
    let mut queue = CallQueue::new();
    queue.set_slots(at(0), slots);
    queue.set_policy(at(0), QueuePolicy::TeamValue);
    for (route, ms) in [("a", 100), ("long", 400)] {
        let call = requirements(route, 0, at(0), 500, 1_000);
        assert_eq!(queue.admit(at(0), call.clone()), Admission::Run);
        queue.end(at(0), &call, Some(Micros::from(Millis::new(ms))));
    }
    queue
}

/// Returns a call of route `a` and of `team`.
fn call(team: &str, priority: u8, now: Instant, target: u64, deadline: u64) -> CallRequirements {
    let team = Some(team.parse().unwrap());
    CallRequirements { team, ..requirements("a", priority, now, target, deadline) }
}

/// Admits calls until the slots are full.
fn fill(queue: &mut CallQueue, slots: u32) {
    for _ in 0..slots {
        assert_eq!(queue.admit(at(0), call("filler", 0, at(0), 500, 900)), Admission::Run);
    }
}

fn ticket(admission: Admission) -> QueueTicket {
    let Admission::Wait(ticket) = admission else { panic!("{admission:?}") };
    ticket
}

fn refusal(wakeups: &[QueueWakeup], ticket: QueueTicket) -> Option<RefusalReason> {
    let wakeup = wakeups.iter().find(|wakeup| wakeup.ticket == ticket)?;
    wakeup.refused.map(|(reason, _)| reason)
}

/// Guards against a call that waits on though urgent calls that arrived later leave it no time.
#[test]
fn admit_displaces_hopeless_call() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    let last = ticket(queue.admit(at(0), call("b", 2, at(0), 400, 500)));
    for n in 0..5 {
        ticket(queue.admit(at(n), call("c", 1, at(n), 2_000, 3_000)));
    }
    let displaced = queue.take_displaced();
    assert_eq!(refusal(&displaced, last), Some(RefusalReason::DeadlineTooNear));
    assert!(displaced[0].refused.is_some_and(|(_, retry_after)| retry_after > Micros::new(0)));
    assert!(!queue.cancel(last));
}

/// Guards against a call that waits for its turn after its deadline has come too near.
#[test]
fn end_refuses_before_turn() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    ticket(queue.admit(at(0), call("b", 0, at(0), 900, 2_000)));
    let late = ticket(queue.admit(at(0), call("c", 1, at(0), 500, 700)));
    let wakeups = queue.end(at(660), &call("filler", 0, at(0), 500, 900), None);
    assert_eq!(refusal(&wakeups, late), Some(RefusalReason::DeadlineTooNear));
}

/// Guards against a call that gets a slot when it can no longer end before its deadline.
#[test]
fn end_runs_no_hopeless_call() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    let hopeless = ticket(queue.admit(at(0), call("b", 0, at(0), 280, 300)));
    let wakeups = queue.end(at(290), &call("filler", 0, at(0), 500, 900), None);
    assert_eq!(refusal(&wakeups, hopeless), Some(RefusalReason::DeadlineTooNear));
}

/// Guards against a call that waits on to be late while there is enough work that can be in time.
#[test]
fn admit_displaces_late_call() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    let late = ticket(queue.admit(at(0), call("b", 1, at(0), 400, 9_000)));
    for _ in 0..20 {
        queue.admit(at(0), call("filler", 0, at(0), 50, 60));
    }
    for _ in 0..5 {
        ticket(queue.admit(at(0), call("c", 0, at(0), 2_000, 3_000)));
    }
    assert_eq!(refusal(&queue.take_displaced(), late), Some(RefusalReason::Displaced));
}

/// Guards against a long call that keeps its place though a short one of its rank, worth as much,
/// would be late behind it.
#[test]
fn admit_short_call_displaces_long_one() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    let long = CallRequirements { route: "long".parse().unwrap(), ..call("b", 0, at(0), 600, 900) };
    let long = ticket(queue.admit(at(0), long));
    for _ in 0..20 {
        let hopeless = queue.admit(at(0), call("filler", 0, at(0), 50, 60));
        assert!(matches!(hopeless, Admission::Refused { .. }));
    }
    ticket(queue.admit(at(0), call("b", 0, at(0), 620, 2_000)));
    assert_eq!(refusal(&queue.take_displaced(), long), Some(RefusalReason::Displaced));
}

/// Guards against a full queue that refuses an urgent call instead of a less urgent one.
#[test]
fn admit_full_queue() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    let day = 86_400_000;
    let waiting: Vec<_> = (0..CallQueue::MAX_WAITING)
        .map(|_| ticket(queue.admit(at(0), call("b", 1, at(0), day, day))))
        .collect();
    ticket(queue.admit(at(0), call("b", 0, at(0), day, day)));
    let displaced = queue.take_displaced();
    assert_eq!(displaced.len(), 1);
    assert!(waiting.contains(&displaced[0].ticket));
    let less_urgent = queue.admit(at(0), call("b", 2, at(0), day, day));
    assert!(matches!(less_urgent, Admission::Refused { reason: RefusalReason::QueueFull, .. }));
}

/// Guards against refused calls that come back all at the same time.
#[test]
fn admit_spreads_retries() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    let refused =
        (0..200).filter_map(|_| match queue.admit(at(0), call("b", 0, at(0), 300, 400)) {
            Admission::Refused { retry_after, .. } => Some(retry_after.get() / 100_000),
            _ => None,
        });
    let mut tenths = BTreeMap::new();
    refused.for_each(|tenth| *tenths.entry(tenth).or_insert(0) += 1);
    assert!(tenths.len() >= 20, "{tenths:?}");
    assert!(tenths.values().all(|calls| *calls <= 20), "{tenths:?}");
}

/// Guards against a call of a running call that waits behind new work.
#[test]
fn end_made_call_first() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    ticket(queue.admit(at(0), call("b", 0, at(0), 400, 900)));
    let made = ticket(queue.admit(at(0), requirements("a", 3, at(0), 800, 900)));
    let wakeups = queue.end(at(10), &call("filler", 0, at(0), 500, 900), None);
    assert_eq!(wakeups, [QueueWakeup { ticket: made, refused: None }]);
}

/// Guards against a team with many waiting calls that gets more slots than one with few.
#[test]
fn end_teams_alternate() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    let many: Vec<_> =
        (0..6).map(|_| ticket(queue.admit(at(0), call("b", 0, at(0), 5_000, 9_000)))).collect();
    let few: Vec<_> =
        (0..3).map(|_| ticket(queue.admit(at(0), call("c", 0, at(0), 6_000, 9_000)))).collect();
    let started = (1..=6).map(|n| {
        let wakeups = queue.end(at(n * 100), &call("filler", 0, at(0), 500, 900), None);
        wakeups[0].ticket
    });
    let started: Vec<_> = started.collect();
    let count = |tickets: &[QueueTicket]| started.iter().filter(|t| tickets.contains(t)).count();
    assert_eq!((count(&many), count(&few)), (3, 3));
}

/// Guards against memory that grows with the number of teams that ever made a call.
#[test]
fn admit_many_teams() {
    let mut queue = queue(1);
    for n in 0..5_000 {
        let call = call(&format!("team-{n}"), 0, at(n), 500, 900);
        if queue.admit(at(n), call.clone()) == Admission::Run {
            queue.end(at(n), &call, Some(Micros::new(500)));
        }
    }
    assert!(queue.teams_known() <= FairShare::MAX_ACCOUNTS + 1, "{}", queue.teams_known());
}

/// Guards against waiting calls that are lost when the configuration gets its first team or loses
/// its last one.
#[test]
fn set_policy_keeps_waiting_calls() {
    let mut queue = queue(1);
    fill(&mut queue, 1);
    let waiting = ticket(queue.admit(at(0), call("b", 0, at(0), 400, 900)));
    for policy in [QueuePolicy::Target, QueuePolicy::Value, QueuePolicy::Target] {
        queue.set_policy(at(1), policy);
    }
    assert!(queue.cancel(waiting));
}

/// Guards against attempts at another endpoint that can't be answered before the deadline.
#[test]
fn call_value_of_attempts() {
    let value = |run_time, target, deadline| {
        CallValue::new(at(0), Micros::from(Millis::new(run_time)), at(target), at(deadline))
    };
    assert!(value(100, 500, 900).is_worth_attempt());
    assert!(value(100, 10, 900).is_worth_attempt(), "a late answer has some value");
    assert!(!value(1_000, 100, 400).is_worth_attempt());
    assert!(value(100, 500, 900).per_second() > 3.9 * value(400, 900, 900).per_second());
}

/// The calls that a random series of events has left in a queue.
#[derive(Default)]
struct Calls {
    running: Vec<CallRequirements>,
    waiting: BTreeMap<QueueTicket, CallRequirements>,
}

impl Calls {
    /// Returns whether each wakeup is of a waiting call, and the slots are not exceeded.
    fn wake(&mut self, slots: u32, wakeups: Vec<QueueWakeup>) -> bool {
        for wakeup in wakeups {
            let Some(call) = self.waiting.remove(&wakeup.ticket) else { return false };
            if wakeup.refused.is_none() {
                self.running.push(call);
                if self.running.len() > slots as usize {
                    return false;
                }
            }
        }
        true
    }

    fn leaves_slot_free(&self, slots: u32) -> bool {
        self.running.len() < slots as usize && !self.waiting.is_empty()
    }
}

properties! {
    /// Guards against any order of events that overfills the slots, loses a waiting call, or leaves
    /// one that never runs and is never refused.
    fn queue_any_events_teams(steps: Vec<(u8, u16)>) -> bool {
        const SLOTS: u32 = 3;
        let mut queue = queue(SLOTS);
        let mut calls = Calls::default();
        let mut now = at(0);
        for (kind, number) in steps {
            now = now + Micros::new(u64::from(number) * 10);
            let mut wakeups = Vec::new();
            match kind % 8 {
                0..=4 => {
                    let team = (number % 7 > 0).then(|| format!("t{}", number % 7).parse().unwrap());
                    let target = 50 + u64::from(number % 700);
                    let call = requirements("a", kind % 3, now, target, 2 * target);
                    let call = CallRequirements { team, ..call };
                    match queue.admit(now, call.clone()) {
                        Admission::Run => calls.running.push(call),
                        Admission::Wait(ticket) => {
                            calls.waiting.insert(ticket, call);
                        }
                        Admission::Refused { .. } => {}
                    }
                    wakeups = queue.take_displaced();
                }
                5 | 6 => if let Some(call) = calls.running.pop() {
                    wakeups = queue.end(now, &call, Some(Micros::new(u64::from(number) * 10)));
                },
                _ => {
                    let first = calls.waiting.pop_first();
                    if first.is_some_and(|(ticket, _)| !queue.cancel(ticket)) {
                        return false;
                    }
                }
            }
            if !calls.wake(SLOTS, wakeups) || calls.leaves_slot_free(SLOTS) {
                return false;
            }
        }
        while let Some(call) = calls.running.pop() {
            let wakeups = queue.end(now, &call, None);
            if !calls.wake(SLOTS, wakeups) {
                return false;
            }
        }
        calls.waiting.is_empty()
    }

    /// Guards against a backlogged team that gets much more work done than another one of its rank
    /// in some interval. Start-time fair queueing bounds the difference by one call of each.
    fn fair_share_any_interval(run_times: Vec<(u8, u8, u8)>) -> bool {
        const MAX_RUN_TIME: i64 = 255;
        let mut shares = FairShare::default();
        let rank = CallRank::default();
        let holders = ["a", "b", "c"].map(|team| ShareHolder::Team(team.parse().unwrap()));
        let mut work = [0_i64; 3];
        let mut differences = vec![[0_i64; 3]];
        for (a, b, c) in run_times {
            let tags = holders.each_ref().map(|holder| shares.start_tag(rank, holder));
            let next = (0..3).min_by_key(|n| tags[*n]).unwrap();
            let run_time = [a, b, c][next].max(1);
            shares.record_start(rank, holders[next].clone(), Micros::new(run_time.into()), tags[next]);
            work[next] += i64::from(run_time);
            differences.push([work[0] - work[1], work[1] - work[2], work[2] - work[0]]);
        }
        (0..3).all(|pair| {
            let of_pair = || differences.iter().map(|difference| difference[pair]);
            of_pair().max().unwrap() - of_pair().min().unwrap() <= 2 * MAX_RUN_TIME
        })
    }
}
