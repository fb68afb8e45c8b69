//! Tests of the sums of accounting records and of the teams' reports.

mod rollout_common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use almondsail_core::config::{ConfigContent, ServerVersion, Service};
use almondsail_core::ids::{ConfigVersion, DataCentre, TeamName};
use almondsail_core::report::{
    AccountingRecord, CallCounts, ChangeSums, Collector, Cost, Hour, HourKey, HourSums,
    MINUTE_WRITE_DELAY, Minute, NodeMinutes, ReportInput, ReportPeriod, RolloutEnd, RolloutRecord,
    StoredHours, Sums, TeamReport,
};
use almondsail_core::store::{Revision, StoreReply, StoreRequest, StoredHour};
use almondsail_core::units::{ByteCount, Instant, Micros, Millis, UnixMillis};
use rand::seq::SliceRandom;
use rollout_common::{name, rng, runner};

/// The first minute of the records, which is the first of an hour.
const FROM: Minute = Minute::new(120);
const TO: Minute = Minute::new(130);

/// Returns the records of three nodes over ten minutes. Each call is a tuple of node, minute
/// and kind; the kind determines its team, its end and the bytes that it costs.
fn records(calls: &[(u8, u8, u8)]) -> Vec<AccountingRecord> {
    let mut records: BTreeMap<(u8, u64), AccountingRecord> = BTreeMap::new();
    for (node, minute, kind) in calls {
        let key = (node % 3, FROM.get() + u64::from(minute % 10));
        let record = records.entry(key).or_insert_with(|| AccountingRecord {
            node: name(&format!("node-{}", key.0)),
            minute: Minute::new(key.1),
            covers_minute: true,
            sums: Sums::default(),
        });
        record.sums.cost.add(&Cost {
            cpu: Micros::new(7),
            bytes: ByteCount::new(u64::from(*kind)),
            store_calls: 1,
        });
        let team: TeamName = name(if kind % 5 == 0 { "depots" } else { "wellboats" });
        let counts = record.sums.teams.entry(team).or_default();
        match kind % 4 {
            0 => counts.delivered += 1,
            1 => counts.late += 1,
            2 => counts.refused += 1,
            _ => counts.in_doubt += 1,
        }
        let version = ServerVersion { service: name("bays"), version: name("v2") };
        *record.sums.new_version_calls.entry(version).or_default() += u64::from(kind % 2);
        let end = if kind % 2 == 0 { RolloutEnd::Late } else { RolloutEnd::InTime };
        record.sums.add_rollout(&rollout(UnixMillis::new(u64::from(kind % 3)), end));
        let change = record.sums.changes.entry(ConfigVersion::new(u64::from(kind % 3)));
        change.or_insert(change_of(1, u64::from(*kind)));
    }
    records.into_values().collect()
}

fn rollout(started: UnixMillis, end: RolloutEnd) -> RolloutRecord {
    RolloutRecord {
        team: name("depots"),
        service: name("bays"),
        version: name("v2"),
        started,
        ended: FROM.start() + Millis::new(150_000),
        end,
    }
}

fn change_of(nodes: u64, longest: u64) -> ChangeSums {
    ChangeSums {
        team: Some(name("depots")),
        accepted: FROM.start(),
        nodes,
        expected: 3,
        longest: Millis::new(longest),
    }
}

/// Returns the sums that a collector of three nodes writes if the records arrive in this order.
fn collected<'a>(records: impl IntoIterator<Item = &'a AccountingRecord> + Clone) -> HourSums {
    let nodes = || (0..3).map(|n| name(&format!("node-{n}"))).collect::<BTreeSet<_>>();
    let mut collector = Collector::new(name("dc"), FROM.start());
    for minute in FROM.get()..=TO.get() {
        let start = Minute::new(minute).start();
        collector.tick(start, || true, nodes);
        for record in records.clone().into_iter().filter(|r| r.minute.get() + 1 == minute) {
            collector.add_record(record, 3, start + Millis::new(1_000));
        }
        collector.tick(start + MINUTE_WRITE_DELAY, || true, nodes);
    }
    written(&mut collector)
}

/// Returns the sums that the collector writes to an empty store.
fn written(collector: &mut Collector) -> HourSums {
    let mut random = rng(1);
    let Some(StoreRequest::ReadHour(_)) = collector.poll(Instant::default(), &mut random) else {
        return HourSums::default();
    };
    let empty = StoreReply::Hour(StoredHour { revision: Revision::default(), value: None });
    match collector.reply(empty, Instant::default(), &mut random) {
        Some(StoreRequest::SwapHour { value, .. }) => Arc::unwrap_or_clone(value).sums,
        other => panic!("expected a write, got {other:?}"),
    }
}

fn stored(sums: HourSums) -> StoredHours {
    let data_centre: DataCentre = name("dc");
    let mut hours = StoredHours::new([data_centre.clone()]);
    hours.insert(HourKey { data_centre, hour: Hour::of(FROM) }, sums);
    hours
}

fn reports(hours: &StoredHours, teams: &[&str]) -> Vec<TeamReport> {
    let mut content = ConfigContent::default();
    for (i, team) in teams.iter().enumerate() {
        let service = Service { name: name(&format!("s{i}")), team: name(team), stable: None };
        content.services.insert(service.name.clone(), service);
    }
    let period = ReportPeriod { from: Hour::of(FROM), to: TO };
    let input = ReportInput { period, hours, content: &content };
    teams.iter().map(|team| TeamReport::new(&name(team), input)).collect()
}

/// Guards against sums that depend on the order of records, or on how often one is delivered.
#[test]
fn collect_any_order() {
    fn property(calls: Vec<(u8, u8, u8)>, seed: u64) -> bool {
        let records = records(&calls);
        let mut shuffled: Vec<&AccountingRecord> = records.iter().chain(&records).collect();
        shuffled.shuffle(&mut rng(seed));
        let mut sum = Sums::default();
        records.iter().for_each(|record| sum.add(&record.sums));
        let (ordered, unordered) = (collected(&records), collected(shuffled));
        ordered == unordered && ordered.sums == sum
    }
    runner().quickcheck(property as fn(_, _) -> _);
}

/// Guards against calls or costs that appear in no team's report or in two.
#[test]
fn new_adds_up() {
    fn property(calls: Vec<(u8, u8, u8)>) -> bool {
        let hours = stored(collected(&records(&calls)));
        let reports = reports(&hours, &["depots", "idle", "wellboats"]);
        let (mut counts, mut cost) = (CallCounts::default(), Cost::default());
        for report in &reports {
            counts.add(&report.calls);
            cost.add(&report.cost);
        }
        counts.total() == calls.len() as u64
            && cost == hours.total().cost
            && cost.store_calls == calls.len() as u64
    }
    runner().quickcheck(property as fn(_) -> _);
}

/// Guards against rounding or overflow by which the shares don't add up to the cost.
#[test]
fn share_adds_up() {
    fn property(cpu: u64, bytes: u64, store_calls: u64, calls: Vec<u64>) -> bool {
        let cost = Cost { cpu: Micros::new(cpu), bytes: ByteCount::new(bytes), store_calls };
        let team = |(i, n): (usize, &u64)| (name(&format!("m{i}")), *n);
        let calls: BTreeMap<TeamName, u64> = calls.iter().enumerate().map(team).collect();
        let shares = cost.share(&calls);
        let mut sum = Cost::default();
        shares.values().for_each(|share| sum.add(share));
        calls.is_empty() || sum == cost
    }
    runner().quickcheck(property as fn(_, _, _, _) -> _);
}

/// Guards against a team without calls that pays no share of the fixed part.
#[test]
fn share_fixed_part() {
    let cost = Cost { store_calls: 1_000, ..Cost::default() };
    let calls = BTreeMap::from([(name("depots"), 300), (name("idle"), 0)]);
    let shares: Vec<u64> = cost.share(&calls).values().map(|share| share.store_calls).collect();
    assert_eq!(shares, [875, 125]);
}

/// Guards against missing records that the report fills in or does not mention.
#[test]
fn new_counts_missing_records() {
    let hours = stored(collected(&records(&[(0, 0, 0), (0, 1, 0), (1, 0, 0)])));
    let report = &reports(&hours, &["depots"])[0];
    assert_eq!((report.gaps.missing_records, report.gaps.expected_records), (27, 30));
    assert_eq!((report.gaps.missing_minutes, report.gaps.minutes), (0, 10));
    let text = report.to_string();
    assert!(text.contains("27 of 30 records of the nodes are missing or of a part"), "{text}");
}

/// Guards against a node that died within a minute and whose record is not counted as
/// missing, and against the partial record of its next process passing as that record.
#[test]
fn tick_restarted_node() {
    let mut collector = Collector::new(name("dc"), FROM.start());
    let next = Minute::new(FROM.get() + 1).start();
    collector.tick(FROM.start(), || true, || [name("a"), name("b")].into());
    let partial = AccountingRecord {
        node: name("b"),
        minute: FROM,
        covers_minute: false,
        sums: Sums::default(),
    };
    collector.tick(next, || true, || [name("c")].into());
    assert!(collector.add_record(&partial, 3, next));
    let whole = AccountingRecord { node: name("a"), covers_minute: true, ..partial };
    assert!(collector.add_record(&whole, 3, next));
    collector.tick(next + MINUTE_WRITE_DELAY, || true, BTreeSet::new);
    let minutes = written(&mut collector).minutes;
    assert_eq!((minutes[&FROM].expected, minutes[&FROM].received), (3, 1));
}

/// Guards against counting a repeated record again after the collector dropped the list of
/// nodes counted in its minute.
#[test]
fn take_old_record() {
    let mut collector = Collector::new(name("dc"), FROM.start());
    let record = AccountingRecord {
        node: name("a"),
        minute: FROM,
        covers_minute: true,
        sums: Sums::default(),
    };
    assert!(collector.add_record(&record, 1, FROM.start()));
    collector.tick(TO.start(), || true, BTreeSet::new);
    assert!(!collector.add_record(&record, 1, TO.start()));
}

/// Guards against expecting a node twice because two collectors covered the same minute.
#[test]
fn add_two_collectors() {
    let sums = |expected, received| HourSums {
        minutes: [(FROM, NodeMinutes { expected, received })].into(),
        sums: Sums::default(),
    };
    let mut both = sums(3, 1);
    both.add(&sums(4, 3));
    assert_eq!(both, sums(4, 4));
}

/// Guards against unknown times and numbers of calls that are reported as known.
#[test]
fn sentences_name_what_is_missing() {
    let mut sums = collected(&[]);
    sums.minutes.values_mut().for_each(|minute| minute.received = 3);
    let start = |millis| FROM.start() + Millis::new(millis);
    let rolled_back = RolloutEnd::RolledBack { new_version_calls: None };
    for record in [
        rollout(start(1), RolloutEnd::InTime),
        rollout(start(2), RolloutEnd::Late),
        rollout(start(3), rolled_back),
        rollout(UnixMillis::new(FROM.start().get() - 1), rolled_back),
        // This rollout ended after the period.
        RolloutRecord { ended: TO.start(), ..rollout(start(4), RolloutEnd::Late) },
    ] {
        sums.sums.add_rollout(&record);
    }
    sums.sums
        .new_version_calls
        .insert(ServerVersion { service: name("bays"), version: name("v2") }, 41);
    for (version, nodes, longest) in [(1, 3, 900), (2, 2, 100), (3, 3, 300), (4, 3, 2_000)] {
        sums.sums.changes.insert(ConfigVersion::new(version), change_of(nodes, longest));
    }
    let all = reports(&stored(sums), &["depots", "wellboats"]);
    let (depots, wellboats) = (all[0].sentences().join("\n"), all[1].to_string());
    for part in [
        "1 rollouts were complete before their deadline, 1 were late, and 2 were rolled back",
        "rolled back after 41 calls",
        "the number of its calls is missing",
        "after 900ms in the median and 2000ms at most; the time of 1 others is missing",
        "All 30 records",
    ] {
        assert!(depots.contains(part), "{part:?} is not in {depots}");
    }
    assert!(wellboats.contains("No change was accepted"), "{wellboats}");
    let nothing = reports(&StoredHours::new([name("dc")]), &["depots"])[0].to_string();
    assert!(nothing.contains("10 of 10 minutes of the data centres are missing"), "{nothing}");
}
