//! The report of a team's calls, rollouts, changes and costs.

use std::collections::BTreeMap;
use std::fmt;

use crate::config::ServerVersion;
use crate::ids::TeamName;
use crate::report::{
    CallCounts, ChangeSums, Cost, Gaps, InForceTimes, Minute, ReportInput, RolloutEnd,
    RolloutRecord, Sums,
};
use crate::units::Millis;

/// The report of a team's calls, rollouts, changes and costs in a period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamReport {
    /// The team whose figures are reported.
    pub team: TeamName,
    /// The first minute of the period.
    pub from: Minute,
    /// The first minute after the period.
    pub to: Minute,
    /// The numbers of the team's calls by outcome.
    pub calls: CallCounts,
    /// The number of rollouts that were completed by their deadline.
    pub in_time: u64,
    /// The number of rollouts that missed their deadline.
    pub late: u64,
    /// The rollouts that were rolled back; the `end` of each is `RolledBack`.
    pub rolled_back: Vec<RolloutRecord>,
    /// Statistics of the time until the team's changes were in force.
    pub in_force: InForceTimes,
    /// The team's share of the total cost.
    pub cost: Cost,
    /// The cost of all teams together.
    pub total_cost: Cost,
    /// The amount of missing data, whose calls and costs are in no other field.
    pub gaps: Gaps,
}

impl TeamReport {
    /// Computes the report of `team` from `input`.
    pub fn new(team: &TeamName, input: ReportInput<'_>) -> Self {
        let (from, to) = (input.period.from.first(), input.period.to);
        let total = input.hours.total();
        let rollouts = ended_rollouts(team, &input, &total);
        let count = |end: RolloutEnd| rollouts.iter().filter(|r| r.end == end).count() as u64;
        let (in_time, late) = (count(RolloutEnd::InTime), count(RolloutEnd::Late));
        let is_rolled_back = |r: &RolloutRecord| matches!(r.end, RolloutEnd::RolledBack { .. });
        Self {
            team: team.clone(),
            from,
            to,
            calls: total.teams.get(team).copied().unwrap_or_default(),
            in_time,
            late,
            rolled_back: rollouts.into_iter().filter(is_rolled_back).collect(),
            in_force: in_force_times(team, &input),
            cost: cost_shares(&input, &total).remove(team).unwrap_or_default(),
            total_cost: total.cost,
            gaps: input.hours.gaps(from, to),
        }
    }

    /// Returns the report as English sentences.
    pub fn sentences(&self) -> Vec<String> {
        let mut sentences = vec![self.calls_sentence(), self.rollouts_sentence()];
        sentences.extend(self.rolled_back.iter().map(rolled_back_sentence));
        sentences.extend([self.in_force_sentence(), self.cost_sentence()]);
        sentences.extend([self.record_sentence(), self.minute_sentence()]);
        sentences
    }

    /// Returns the figures of the report as pairs of a name and a number with its unit.
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
            (
                "records missing",
                format!("{}/{}", self.gaps.missing_records, self.gaps.expected_records),
            ),
            ("minutes missing", format!("{}/{}", self.gaps.missing_minutes, self.gaps.minutes)),
        ]
    }

    fn calls_sentence(&self) -> String {
        format!(
            "Of {} calls of {}, {} were delivered in time, {} were late, {} were refused \
             unrun, and {} non-idempotent ones are in doubt.",
            self.calls.total(),
            self.team,
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
            "The team's share of the cost is {} of {} of processor time, {} of {}, and {} of \
             {} store calls.",
            self.cost.cpu,
            self.total_cost.cpu,
            self.cost.bytes,
            self.total_cost.bytes,
            self.cost.store_calls,
            self.total_cost.store_calls
        )
    }

    fn record_sentence(&self) -> String {
        let Gaps { expected_records: expected, missing_records: missing, .. } = self.gaps;
        if missing == 0 {
            format!("All {expected} records that were expected of the nodes are in.")
        } else {
            format!(
                "{missing} of {expected} records of the nodes are missing or of a part of a \
                 minute; what they lack is in no figure."
            )
        }
    }

    fn minute_sentence(&self) -> String {
        let Gaps { minutes, missing_minutes: missing, .. } = self.gaps;
        if missing == 0 {
            format!("The store has all {minutes} minutes of the data centres.")
        } else {
            format!(
                "{missing} of {minutes} minutes of the data centres are missing from the store \
                 or could not be read; how many records they lack is not known."
            )
        }
    }
}

impl fmt::Display for TeamReport {
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
        RolloutEnd::RolledBack { new_version_calls: Some(calls) } => {
            format!("Version {version} of {service} was rolled back after {calls} calls.")
        }
        _ => format!(
            "Version {version} of {service} was rolled back; the number of its calls is missing."
        ),
    }
}

/// Returns the rollouts of `team` that ended in the period or whose deadline passed in it.
fn ended_rollouts(team: &TeamName, input: &ReportInput<'_>, total: &Sums) -> Vec<RolloutRecord> {
    let mut all = Sums { rollouts: total.rollouts.clone(), ..Sums::default() };
    for rollout in input.content.rollouts.values() {
        if let Some(service) = input.content.services.get(&rollout.service)
            && let Some(record) = RolloutRecord::of(rollout, &service.team, input.period.to.start())
        {
            // Another node may have reported the end of a rollout that is still open here.
            all.rollouts.entry(record.key()).or_insert(record);
        }
    }
    let period = input.period.start()..input.period.to.start();
    let is_wanted = |r: &RolloutRecord| r.team == *team && period.contains(&r.ended);
    all.rollouts.into_values().filter(is_wanted).map(|r| with_new_version_calls(r, input)).collect()
}

fn with_new_version_calls(mut record: RolloutRecord, input: &ReportInput<'_>) -> RolloutRecord {
    if let RolloutEnd::RolledBack { new_version_calls } = &mut record.end {
        let (service, version) = (record.service.clone(), record.version.clone());
        let times = (record.started, record.ended);
        let version = ServerVersion { service, version };
        *new_version_calls = input.hours.new_version_calls(&version, times, input.period.from);
    }
    record
}

/// Returns the statistics of the team's changes. Those of the last minute are left out,
/// since their reports may not have reached the store.
fn in_force_times(team: &TeamName, input: &ReportInput<'_>) -> InForceTimes {
    let last = Minute::new(input.period.to.get().saturating_sub(1)).start();
    let is_wanted = |change: &ChangeSums| {
        change.team.as_ref().is_none_or(|m| m == team)
            && (input.period.start()..last).contains(&change.accepted)
    };
    let changes = input.hours.changes();
    InForceTimes::of(changes.values().filter(|(c, _)| is_wanted(c)).map(|(_, time)| *time))
}

/// Returns the cost shares of all teams that are in the configuration or had calls.
fn cost_shares(input: &ReportInput<'_>, total: &Sums) -> BTreeMap<TeamName, Cost> {
    let teams = input.content.services.values().map(|service| (service.team.clone(), 0));
    let mut calls: BTreeMap<TeamName, u64> = teams.collect();
    calls.extend(total.teams.iter().map(|(team, counts)| (team.clone(), counts.total())));
    total.cost.share(&calls)
}
