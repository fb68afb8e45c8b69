//! Tests of the counters that a node keeps for each minute.

mod rollout_common;

use std::sync::Arc;

use almondsail_core::RefusalReason;
use almondsail_core::config::{Config, ConfigContent, HistoryEntry, RolloutPhase, ServerVersion};
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::report::{
    AccountingRecord, CallCounts, CallEnd, Cost, EndedCalls, Ledger, Minute, RolloutEnd,
};
use almondsail_core::rollout::{CallOutcome, CountedCalls, CountingRole};
use almondsail_core::units::{Micros, Millis, UnixMillis};
use rollout_common::{START, after, content, name};

/// Milliseconds from the start of a rollout to its deadline.
const ROLLOUT_SPAN_MS: u64 = 600_000;

fn ledger() -> Ledger {
    Ledger::new(name("n1"), START)
}

/// Closes the minute that begins at `START` and returns its record.
fn finish_minute(ledger: &mut Ledger) -> AccountingRecord {
    ledger.finish_minute(after(60_000)).expect("the minute has ended")
}

/// Returns a configuration whose last three versions were accepted at these times.
fn config(version: u64, content: &ConfigContent, accepted: [UnixMillis; 3]) -> Arc<Config> {
    let entry = |(i, at): (u64, UnixMillis)| HistoryEntry {
        version: ConfigVersion::new(version - 2 + i),
        write_id: WriteId::new([i as u8; WriteId::BYTES]),
        at,
        service: Some(name("bays")),
        operator: name("ana"),
        summary: "a change".into(),
    };
    let history = (0..).zip(accepted).map(entry).collect();
    let write_id = WriteId::new([1; WriteId::BYTES]);
    let content = content.clone();
    Arc::new(Config { version: ConfigVersion::new(version), write_id, content, history })
}

/// Guards against counting calls of another version, refused calls or calls seen at
/// their entry node as calls that the new version of a rollout ran.
#[test]
fn count_backend_new_version_only() {
    let content = content(1, 1, ROLLOUT_SPAN_MS);
    let calls = |at, version: &str, outcome| CountedCalls {
        at,
        service: name("bays"),
        route: name("r00"),
        version: name(version),
        outcome,
        latency: Micros::default(),
        calls: 5,
    };
    let mut ledger = ledger();
    let counted = [
        calls(CountingRole::Backend, "v2", CallOutcome::Answered),
        calls(CountingRole::Backend, "v2", CallOutcome::Failed),
        calls(CountingRole::Backend, "v2", CallOutcome::Refused),
        calls(CountingRole::Backend, "v1", CallOutcome::Answered),
        calls(CountingRole::Entry, "v2", CallOutcome::Answered),
    ];
    ledger.count_at_backend(&counted, &content, START);
    let new_version_calls = finish_minute(&mut ledger).sums.new_version_calls;
    let version = ServerVersion { service: name("bays"), version: name("v2") };
    assert_eq!(new_version_calls, [(version, 10)].into());
}

/// Guards against a change that is counted twice, is left out because the node skipped
/// its version, or is counted although it was accepted before the process started.
#[test]
fn apply_each_change_once() {
    let content = content(1, 1, ROLLOUT_SPAN_MS);
    let early = UnixMillis::new(START.get() - 1);
    let mut ledger = ledger();
    let first = config(3, &content, [early, after(100), after(200)]);
    ledger.apply(&first, after(1_000));
    ledger.apply(&first, after(5_000));
    ledger.apply(&config(5, &content, [after(200), after(300), after(400)]), after(2_000));
    let sums = finish_minute(&mut ledger).sums;
    let times: Vec<(u64, u64, u64)> =
        sums.changes.iter().map(|(v, c)| (v.get(), c.nodes, c.longest.get())).collect();
    assert_eq!(times, [(2, 1, 900), (3, 1, 800), (4, 1, 1_700), (5, 1, 1_600)]);
    assert!(sums.changes.values().all(|change| change.team == Some(name("depots"))));
}

/// Guards against the end of a rollout that is recorded twice or not at all.
#[test]
fn apply_rollout_end_once() {
    let open = content(1, 1, ROLLOUT_SPAN_MS);
    let mut ended = open.clone();
    let rollout = ended.rollouts.get_mut("bays").expect("the content has a rollout of bays");
    (rollout.phase, rollout.changed) = (RolloutPhase::RolledBack, after(900));
    let mut ledger = ledger();
    let accepted = [START; 3];
    ledger.apply(&config(3, &open, accepted), after(500));
    ledger.apply(&config(4, &ended, accepted), after(1_000));
    let records: Vec<_> = finish_minute(&mut ledger).sums.rollouts.into_values().collect();
    assert_eq!(records.len(), 1);
    assert_eq!((records[0].started, records[0].ended), (START, after(900)));
    assert_eq!(records[0].end, RolloutEnd::RolledBack { new_version_calls: None });
    ledger.apply(&config(5, &ended, accepted), after(61_000));
    let next = ledger.finish_minute(after(120_000)).expect("the minute has ended");
    assert!(next.sums.rollouts.is_empty(), "{next:?}");
}

/// Guards against counts that appear in two minutes or in none, against a minute
/// that is recorded twice because the clock was set back, and against a partial
/// minute that is marked as whole.
#[test]
fn finish_each_minute_once() {
    let mut ledger = Ledger::new(name("n1"), after(1));
    let content = content(1, 1, ROLLOUT_SPAN_MS);
    let calls = |count| EndedCalls {
        service: name("bays"),
        route: name("r00"),
        end: CallEnd::Failed(RefusalReason::DeadlinePassed),
        count,
    };
    let cost = |cpu| Cost { cpu: Micros::new(cpu), ..Cost::default() };
    ledger.count(&[calls(2)], &content);
    ledger.read_cost(cost(50));
    assert_eq!(ledger.finish_minute(after(59_999)), None);
    let first = finish_minute(&mut ledger);
    ledger.count(&[calls(3)], &content);
    ledger.read_cost(cost(70));
    assert_eq!(ledger.finish_minute(after(30_000)), None);
    assert_eq!(ledger.finish_minute(after(60_000)), None);
    let second = ledger.finish_minute(after(120_000)).expect("the minute has ended");
    for (record, minutes, covers_minute, late, cpu) in
        [(&first, 0, false, 2, 50), (&second, 1, true, 3, 20)]
    {
        let counts = CallCounts { late, ..CallCounts::default() };
        let minute = Minute::at(START + Millis::new(minutes * 60_000));
        assert_eq!((record.minute, record.covers_minute), (minute, covers_minute));
        assert_eq!(record.sums.teams, [(name("depots"), counts)].into());
        assert_eq!(record.sums.cost, cost(cpu));
    }
}
