//! Tests of accounting and of the members' reports.

mod rollout_common;

use std::collections::{BTreeMap, BTreeSet};

use almondsail_core::ids::{Incarnation, MemberName, NodeId};
use almondsail_core::report::{
    Accounting, AccountingRecord, CallCounts, ChangeRecord, Cost, MemberReport, Minute,
    ReportInput, RolloutEnd, RolloutRecord,
};
use almondsail_core::units::{ByteCount, Micros, Millis};
use rand::seq::SliceRandom;
use rollout_common::{START, name, rng, runner};

const FROM: Minute = Minute::new(100);
const TO: Minute = Minute::new(110);

/// Cumulative records of three nodes over ten minutes, several states of each counter.
fn records(calls: &[(u8, u8, u8)]) -> Vec<AccountingRecord> {
    let mut states: BTreeMap<(u8, u64), AccountingRecord> = BTreeMap::new();
    let mut records = Vec::new();
    for (node, minute, kind) in calls {
        let key = (node % 3, FROM.get() + u64::from(minute % 10));
        let state = states.entry(key).or_insert_with(|| AccountingRecord {
            node: name(&format!("node-{}", key.0)),
            incarnation: Incarnation::new(1),
            minute: Minute::new(key.1),
            cost: Cost::default(),
            members: BTreeMap::new(),
        });
        state.cost.add(&Cost {
            cpu: Micros::new(7),
            bytes: ByteCount::new(u64::from(*kind)),
            store_calls: 1,
        });
        let member: MemberName = name(if kind % 5 == 0 { "depots" } else { "wellboats" });
        let counts = state.members.entry(member).or_default();
        match kind % 4 {
            0 => counts.delivered += 1,
            1 => counts.late += 1,
            2 => counts.refused += 1,
            _ => counts.in_doubt += 1,
        }
        records.push(state.clone());
    }
    records
}

fn merged<'a>(records: impl IntoIterator<Item = &'a AccountingRecord>) -> Accounting {
    let mut accounting = Accounting::default();
    records.into_iter().for_each(|record| accounting.merge(record));
    accounting
}

fn reports(accounting: &Accounting, members: &[&str], nodes: usize) -> Vec<MemberReport> {
    let members: BTreeSet<MemberName> = members.iter().map(|m| name(m)).collect();
    let nodes: BTreeSet<NodeId> = (0..nodes).map(|n| name(&format!("node-{n}"))).collect();
    let rollout = |end| RolloutRecord {
        member: name("depots"),
        service: name("bays"),
        version: name("v2"),
        ended: START,
        end,
    };
    let rollouts = [
        rollout(RolloutEnd::InTime),
        rollout(RolloutEnd::Late),
        rollout(RolloutEnd::RolledBack { touched: Some(41) }),
        rollout(RolloutEnd::RolledBack { touched: None }),
    ];
    let change = |time: Option<u64>| ChangeRecord {
        version: Default::default(),
        member: name("depots"),
        accepted: START,
        in_force_after: time.map(Millis::new),
    };
    let changes = [change(Some(900)), change(None), change(Some(300)), change(Some(2_000))];
    let input = ReportInput {
        members: &members,
        nodes: &nodes,
        from: FROM,
        to: TO,
        accounting,
        rollouts: &rollouts,
        changes: &changes,
    };
    members.iter().map(|member| MemberReport::new(member, input)).collect()
}

/// Guards against accounting that depends on the order or number of deliveries of a record.
#[test]
fn merge_any_order() {
    fn property(calls: Vec<(u8, u8, u8)>, seed: u64) -> bool {
        let records = records(&calls);
        let mut crossed: Vec<&AccountingRecord> = records.iter().chain(&records).collect();
        crossed.shuffle(&mut rng(seed));
        merged(&records) == merged(crossed)
    }
    runner().quickcheck(property as fn(_, _) -> _);
}

/// Guards against calls or costs that appear in no report, or in two.
#[test]
fn new_adds_up() {
    fn property(calls: Vec<(u8, u8, u8)>) -> bool {
        let accounting = merged(&records(&calls));
        let reports = reports(&accounting, &["depots", "idle", "wellboats"], 3);
        let (mut counts, mut cost) = (CallCounts::default(), Cost::default());
        for report in &reports {
            counts.add(&report.calls);
            cost.add(&report.cost);
        }
        counts.total() == calls.len() as u64
            && cost == accounting.cost(FROM, TO)
            && cost.store_calls == calls.len() as u64
    }
    runner().quickcheck(property as fn(_) -> _);
}

/// Guards against shares of a cost that do not add up to it, at any size.
#[test]
fn share_adds_up() {
    fn property(cpu: u64, bytes: u64, store_calls: u64, calls: Vec<u64>) -> bool {
        let cost = Cost { cpu: Micros::new(cpu), bytes: ByteCount::new(bytes), store_calls };
        let member = |(i, n): (usize, &u64)| (name(&format!("m{i}")), *n);
        let calls: BTreeMap<MemberName, u64> = calls.iter().enumerate().map(member).collect();
        let shares = cost.share(&calls);
        let mut sum = Cost::default();
        shares.values().for_each(|share| sum.add(share));
        calls.is_empty() || sum == cost
    }
    runner().quickcheck(property as fn(_, _, _, _) -> _);
}

/// Guards against a member without calls that pays nothing of the fixed part.
#[test]
fn share_fixed_part() {
    let cost = Cost { store_calls: 1_000, ..Cost::default() };
    let calls = BTreeMap::from([(name("depots"), 300), (name("idle"), 0)]);
    let shares: Vec<u64> = cost.share(&calls).values().map(|share| share.store_calls).collect();
    assert_eq!(shares, [875, 125]);
}

/// Guards against a gap that is filled or passed over in silence.
#[test]
fn new_counts_missing_records() {
    let accounting = merged(&records(&[(0, 0, 0), (0, 1, 0), (1, 0, 0)]));
    let report = &reports(&accounting, &["depots"], 3)[0];
    assert_eq!((report.missing_records, report.expected_records), (27, 30));
    let text = report.to_string();
    assert!(text.contains("27 of 30 records of the nodes are missing"), "{text}");
}

/// Guards against unknown times and unknown calls that read like measured ones.
#[test]
fn sentences_name_what_is_missing() {
    let accounting = Accounting::default();
    let all = reports(&accounting, &["depots", "wellboats"], 1);
    let (depots, wellboats) = (all[0].sentences().join("\n"), all[1].to_string());
    for part in [
        "1 rollouts were complete before their deadline, 1 were late, and 2 were rolled back",
        "rolled back after 41 calls",
        "the number of its calls is missing",
        "after 900ms in the median and 2000ms at most; the time of 1 others is missing",
    ] {
        assert!(depots.contains(part), "{part:?} is not in {depots}");
    }
    assert!(wellboats.contains("No change was accepted"), "{wellboats}");
    assert!(wellboats.contains("10 of 10 records of the nodes are missing"), "{wellboats}");
}
