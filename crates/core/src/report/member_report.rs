//! What a member's board reads.

use std::collections::BTreeMap;
use std::fmt;

use crate::ids::MemberName;
use crate::report::{
    CallCounts, Cost, InForceTimes, Minute, ReportInput, RolloutEnd, RolloutRecord,
};
use crate::units::Millis;

/// What a member's board reads about a period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// The member.
    pub member: MemberName,
    /// The first minute of the period.
    pub from: Minute,
    /// The first minute after the period.
    pub to: Minute,
    /// The member's calls.
    pub calls: CallCounts,
    /// The rollouts that were complete before their deadline.
    pub in_time: u64,
    /// The rollouts that were not.
    pub late: u64,
    /// The rollouts that were rolled back. Each one's end is `RolledBack`.
    pub rolled_back: Vec<RolloutRecord>,
    /// The times until the member's changes were in force.
    pub in_force: InForceTimes,
    /// The member's share of the cost.
    pub cost: Cost,
    /// The cost of all members together.
    pub total_cost: Cost,
    /// The records that the nodes were to write: one a node and minute.
    pub expected_records: u64,
    /// Those of them that are missing; their calls and costs are in no figure.
    pub missing_records: u64,
}

impl MemberReport {
    /// The report of `member`.
    pub fn new(member: &MemberName, input: ReportInput<'_>) -> Self {
        let all_calls = input.accounting.calls(input.from, input.to);
        let calls_of = |m: &MemberName| all_calls.get(m).copied().unwrap_or_default();
        let totals: BTreeMap<MemberName, u64> =
            input.members.iter().map(|m| (m.clone(), calls_of(m).total())).collect();
        let total_cost = input.accounting.cost(input.from, input.to);
        let rollouts: Vec<&RolloutRecord> =
            input.rollouts.iter().filter(|r| r.member == *member).collect();
        let count = |end: RolloutEnd| rollouts.iter().filter(|r| r.end == end).count() as u64;
        let is_rolled_back = |r: &&&RolloutRecord| matches!(r.end, RolloutEnd::RolledBack { .. });
        let changes = input.changes.iter().filter(|change| change.member == *member);
        Self {
            member: member.clone(),
            from: input.from,
            to: input.to,
            calls: calls_of(member),
            in_time: count(RolloutEnd::InTime),
            late: count(RolloutEnd::Late),
            rolled_back: rollouts.iter().filter(is_rolled_back).map(|r| (*r).clone()).collect(),
            in_force: InForceTimes::of(changes.map(|change| change.in_force_after)),
            cost: total_cost.share(&totals).get(member).copied().unwrap_or_default(),
            total_cost,
            expected_records: input.nodes.len() as u64 * input.to.since(input.from),
            missing_records: missing_records(&input),
        }
    }

    /// The report in sentences.
    pub fn sentences(&self) -> Vec<String> {
        let mut sentences = vec![self.calls_sentence(), self.rollouts_sentence()];
        sentences.extend(self.rolled_back.iter().map(rolled_back_sentence));
        sentences.extend([self.in_force_sentence(), self.cost_sentence(), self.gap_sentence()]);
        sentences
    }

    /// The report's figures: a name, a number and its unit.
    pub fn rows(&self) -> Vec<(&'static str, String)> {
        let unknown = if self.in_force.missing == 0 { "none" } else { "missing" };
        let time = |time: Option<Millis>| time.map_or(unknown.to_owned(), |t| t.to_string());
        vec![
            ("calls delivered", self.calls.delivered.to_string()),
            ("calls late", self.calls.late.to_string()),
            ("calls refused unrun", self.calls.refused.to_string()),
            ("non-idempotent calls in doubt", self.calls.in_doubt.to_string()),
            ("rollouts in time", self.in_time.to_string()),
            ("rollouts late", self.late.to_string()),
            ("versions rolled back", self.rolled_back.len().to_string()),
            ("changes in force, median", time(self.in_force.median)),
            ("changes in force, longest", time(self.in_force.longest)),
            ("changes with no known time", self.in_force.missing.to_string()),
            ("processor time", self.cost.cpu.to_string()),
            ("bytes", self.cost.bytes.to_string()),
            ("store calls", self.cost.store_calls.to_string()),
            ("records missing", format!("{}/{}", self.missing_records, self.expected_records)),
        ]
    }

    fn calls_sentence(&self) -> String {
        format!(
            "Of {} calls of {}, {} were delivered in time, {} were late, {} were refused \
             unrun, and {} non-idempotent ones are in doubt.",
            self.calls.total(),
            self.member,
            self.calls.delivered,
            self.calls.late,
            self.calls.refused,
            self.calls.in_doubt
        )
    }

    fn rollouts_sentence(&self) -> String {
        format!(
            "{} rollouts were complete before their deadline, {} were late, and {} were \
             rolled back.",
            self.in_time,
            self.late,
            self.rolled_back.len()
        )
    }

    fn in_force_sentence(&self) -> String {
        let missing = self.in_force.missing;
        match (self.in_force.median, self.in_force.longest) {
            (Some(median), Some(longest)) => format!(
                "{} changes were in force on every node after {median} in the median and \
                 {longest} at most; the time of {missing} others is missing.",
                self.in_force.known
            ),
            _ if missing == 0 => "No change was accepted.".to_owned(),
            _ => format!("The time until changes were in force is missing for all {missing}."),
        }
    }

    fn cost_sentence(&self) -> String {
        format!(
            "The member's share of the cost is {} of {} of processor time, {} of {}, and {} of \
             {} store calls.",
            self.cost.cpu,
            self.total_cost.cpu,
            self.cost.bytes,
            self.total_cost.bytes,
            self.cost.store_calls,
            self.total_cost.store_calls
        )
    }

    fn gap_sentence(&self) -> String {
        if self.missing_records == 0 {
            format!("All {} records of the nodes are in.", self.expected_records)
        } else {
            format!(
                "{} of {} records of the nodes are missing; their calls and costs are in no \
                 figure.",
                self.missing_records, self.expected_records
            )
        }
    }
}

impl fmt::Display for MemberReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for sentence in self.sentences() {
            writeln!(f, "{sentence}")?;
        }
        writeln!(f)?;
        let rows = self.rows();
        let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or_default();
        let figures = rows.iter().map(|(_, figure)| figure.len()).max().unwrap_or_default();
        rows.iter().try_for_each(|(name, figure)| writeln!(f, "{name:width$}  {figure:>figures$}"))
    }
}

fn rolled_back_sentence(record: &RolloutRecord) -> String {
    let (version, service) = (&record.version, &record.service);
    match record.end {
        RolloutEnd::RolledBack { touched: Some(calls) } => {
            format!("Version {version} of {service} was rolled back after {calls} calls.")
        }
        _ => format!(
            "Version {version} of {service} was rolled back; the number of its calls is missing."
        ),
    }
}

fn missing_records(input: &ReportInput<'_>) -> u64 {
    let minutes = (input.from.get()..input.to.get()).map(Minute::new);
    let gaps = |minute| {
        let is_missing = |node: &&_| !input.accounting.has_record(node, minute);
        input.nodes.iter().filter(is_missing).count() as u64
    };
    minutes.map(gaps).sum()
}
