//! Checks what the nodes promise, from what callers, servers and the operator see.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use http::StatusCode;

use super::{Call, CallEnd, CallKind, ConfigHistory, Finding, NODES, Run, Timeline, Violation};

/// How long after the end of a call its runs are known, as servers are asked for them repeatedly.
const RUNS_KNOWN: Duration = Duration::from_millis(1_000);
/// Number of servers at which a call that may be repeated may arrive.
const MAX_RUNS: usize = 2;
/// Reason of a node that waits for a newer configuration.
const OUTDATED: &str = "outdated_config";

/// Checks what the nodes promise, call by call.
#[derive(Debug, Default)]
pub struct Checker {
    /// What happened to the fleet.
    pub timeline: Timeline,
    calls: HashMap<String, Record>,
    /// The calls that ended or ran since they were last checked, with the time of that.
    unchecked: BTreeSet<(Duration, String)>,
    /// When versions were seen in force at each node.
    in_force: [Vec<(Duration, u32)>; NODES],
    findings: Vec<Finding>,
    /// Runs of calls that nobody sent.
    stray_runs: usize,
}

#[derive(Debug)]
struct Record {
    call: Call,
    end: Option<(Duration, CallEnd)>,
    runs: Vec<Run>,
}

impl Checker {
    /// Records a call that is about to be sent.
    pub fn sent(&mut self, call: Call) {
        let record = Record { call, end: None, runs: Vec::new() };
        self.calls.insert(record.call.id.clone(), record);
    }

    /// Records the end of a call at its caller.
    pub fn ended(&mut self, id: &str, at: Duration, end: CallEnd) {
        let Some(record) = self.calls.get_mut(id) else { return };
        if let (CallKind::Marker(version), Some(StatusCode::OK)) = (record.call.kind, end.status())
        {
            self.in_force[record.call.node].push((at, version));
        }
        record.end = Some((at, end));
        self.unchecked.insert((at, id.to_owned()));
    }

    /// Records a run of a call at a server.
    pub fn ran(&mut self, run: Run) {
        match self.calls.get_mut(&run.call) {
            Some(record) => {
                self.unchecked.insert((run.at, run.call.clone()));
                record.runs.push(run);
            }
            None => self.stray_runs += 1,
        }
    }

    /// Checks the calls whose runs are known at `now`.
    pub fn check(&mut self, now: Duration) {
        while let Some((at, id)) = self.unchecked.pop_first() {
            if at + RUNS_KNOWN > now {
                self.unchecked.insert((at, id));
                return;
            }
            let Some(record) = self.calls.get(&id) else { continue };
            for violation in self.violations(record) {
                // A call is checked again with each of its runs.
                if self.findings.iter().any(|known| known.is_about(violation, &id)) {
                    continue;
                }
                let Record { call, end, runs } = record;
                let end = end.as_ref().map(|(_, end)| end.clone());
                let (call, runs) = (call.clone(), runs.clone());
                self.findings.push(Finding { violation, call, end, runs });
            }
        }
    }

    /// Returns what was found so far.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns the number of runs of calls that nobody sent.
    pub const fn stray_runs(&self) -> usize {
        self.stray_runs
    }

    /// Returns how many calls ended with each status; those without one count as 0.
    pub fn statuses(&self) -> BTreeMap<u16, usize> {
        let mut statuses = BTreeMap::new();
        for record in self.calls.values() {
            let status = record.end.as_ref().and_then(|(_, end)| end.status());
            *statuses.entry(status.map_or(0, |status| status.as_u16())).or_insert(0) += 1;
        }
        statuses
    }

    /// Returns the broken promises that `record` shows.
    fn violations(&self, record: &Record) -> Vec<Violation> {
        // A check of quotas belongs here: `Run::team` and `Run::at` give the arrivals of a team in
        // a sliding window, and status 429 the refusals.
        let mut found = self.run_violations(record);
        if let Some((at, end)) = &record.end {
            found.extend(self.end_violations(record, *at, end));
            found.extend(self.credential_violation(record, *at, end.status()));
            found.extend(self.marker_violation(record, end));
        }
        found
    }

    /// Checks the runs of a call by themselves.
    fn run_violations(&self, Record { call, runs, .. }: &Record) -> Vec<Violation> {
        let mut found = Vec::new();
        let max_runs = if call.kind == CallKind::Once { 1 } else { MAX_RUNS };
        if runs.len() > max_runs {
            found.push(Violation::RanTooOften);
        }
        let team = call.credential.as_deref().map_or("", ConfigHistory::team);
        if runs.iter().any(|run| run.team != team || run.has_credential) {
            found.push(Violation::WrongTeam);
        }
        if runs.iter().any(|run| self.timeline.has_departed(&run.server, run.at)) {
            found.push(Violation::DepartedServer);
        }
        found
    }

    /// Checks what the caller was told against the runs and the faults.
    fn end_violations(&self, record: &Record, at: Duration, end: &CallEnd) -> Option<Violation> {
        let Record { call, runs, .. } = record;
        let is_explained = || self.timeline.explains_failure(call.sent, at);
        let CallEnd::Answer { status, .. } = end else {
            let is_cut = *end == CallEnd::Cut;
            let has_run = !runs.is_empty();
            return match is_cut {
                true if self.timeline.explains_cut(call.node, call.sent, at, has_run) => None,
                true => Some(Violation::Cut),
                false => (!is_explained()).then_some(Violation::UnexplainedFailure),
            };
        };
        match *status {
            StatusCode::OK if runs.is_empty() => Some(Violation::AnsweredUnrun),
            StatusCode::OK => (!is_own_answer(record, end)).then_some(Violation::WrongAnswer),
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
                (!is_explained()).then_some(Violation::UnexplainedFailure)
            }
            StatusCode::UNAUTHORIZED | StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE => {
                (!runs.is_empty()).then_some(Violation::RefusedButRan)
            }
            _ => Some(Violation::UnexpectedStatus),
        }
    }

    fn credential_violation(
        &self,
        Record { call, runs, .. }: &Record,
        at: Duration,
        status: Option<StatusCode>,
    ) -> Option<Violation> {
        let credential = call.credential.as_deref()?;
        let is_refused =
            matches!(status, Some(StatusCode::UNAUTHORIZED | StatusCode::SERVICE_UNAVAILABLE));
        let is_accepted = !runs.is_empty() || (status.is_some() && !is_refused);
        let Some(validity) = self.timeline.configs.validity(credential) else {
            return is_accepted.then_some(Violation::WithdrawnAccepted);
        };
        let added = validity.last_begin(call.sent);
        let is_valid = validity.overlap(call.sent, at, Duration::ZERO);
        if status == Some(StatusCode::UNAUTHORIZED) {
            // The credential may have been withdrawn while the call was under way.
            let stays_valid = validity.overlap(at, at, Duration::ZERO);
            let is_due =
                added.is_some_and(|added| self.timeline.is_due(call.node, added, call.sent));
            return (stays_valid && is_due).then_some(Violation::ValidRefused);
        }
        let withdrawn = validity.last_end(call.sent).filter(|_| !is_valid)?;
        let is_due = self.timeline.is_due(call.node, withdrawn, call.sent);
        (is_accepted && is_due).then_some(Violation::WithdrawnAccepted)
    }

    fn marker_violation(&self, Record { call, .. }: &Record, end: &CallEnd) -> Option<Violation> {
        let CallKind::Marker(version) = call.kind else { return None };
        let CallEnd::Answer { status, reason, .. } = end else { return None };
        if *status == StatusCode::UNAUTHORIZED {
            return Some(Violation::UnexpectedStatus);
        }
        let is_absent = *status == StatusCode::NOT_FOUND || reason == OUTDATED;
        if !is_absent {
            return None;
        }
        let was_seen = |(at, seen): &(Duration, u32)| *at <= call.sent && *seen >= version;
        if self.in_force[call.node].iter().any(was_seen) {
            return Some(Violation::ConfigOlder);
        }
        let accepted = self.timeline.configs.accepted(version)?;
        self.timeline.is_due(call.node, accepted, call.sent).then_some(Violation::ConfigLate)
    }
}

/// Returns whether an answer with status 200 is whole and belongs to the call.
fn is_own_answer(Record { call, runs, .. }: &Record, end: &CallEnd) -> bool {
    let CallEnd::Answer { id, signature, body, .. } = end else { return false };
    let is_echo = |run: &Run| *body == format!("{} {}", run.server, call.payload);
    *id == call.id && *signature == format!("signed-{id}") && runs.iter().any(is_echo)
}
