//! The call counts that a node keeps for the backend server beside it.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, NodeId, RouteName, ServiceName, VersionName};
use crate::rollout::{
    CallOutcome, CallStats, CellLabel, EvidenceReport, HostSpeed, MAX_WINDOWS, Window,
};
use crate::units::{Micros, Millis, UnixMillis};

/// The longest time between two reports of a node.
pub const REPORT_INTERVAL: Millis = Millis::new(5_000);
/// The number of windows in a regular report; later reports repeat the counts of a lost one.
const REPORT_WINDOWS: u64 = 2;
/// The largest number of cells in a report, the newest ones: 600 KB with the longest names,
/// half of the largest frame between nodes.
const MAX_REPORT_CELLS: usize = 2_048;
/// The largest number of cells that a node keeps; the oldest windows are dropped first.
const MAX_RECORDER_CELLS: usize = 16_384;
/// The smallest number of failures since the last report that may cause an early report.
const MIN_PATTERN_FAILURES: u32 = 3;

/// Counts the calls of the backend server beside a node and decides when to report them.
#[derive(Debug, Clone)]
pub struct EvidenceRecorder {
    service: ServiceName,
    node: NodeId,
    incarnation: Incarnation,
    speed: HostSpeed,
    /// At most [`MAX_RECORDER_CELLS`] cells of at most [`MAX_WINDOWS`] windows.
    cells: BTreeMap<CellLabel, CallStats>,
    sequence: u64,
    last_report: Option<UnixMillis>,
    calls_since_report: u32,
    failures_since_report: u32,
}

impl EvidenceRecorder {
    /// Creates a recorder without counts for a node on a host of `speed`.
    pub fn new(
        service: ServiceName,
        node: NodeId,
        incarnation: Incarnation,
        speed: HostSpeed,
    ) -> Self {
        Self {
            service,
            node,
            incarnation,
            speed,
            cells: BTreeMap::new(),
            sequence: 0,
            last_report: None,
            calls_since_report: 0,
            failures_since_report: 0,
        }
    }

    /// Counts `calls` calls that ended at `now` with the same outcome after at most `latency`.
    pub fn record(
        &mut self,
        now: UnixMillis,
        route: &RouteName,
        version: &VersionName,
        outcome: CallOutcome,
        latency: Micros,
        calls: u32,
    ) {
        let window = Window::at(now);
        let label = CellLabel { window, route: route.clone(), version: version.clone() };
        self.cells.entry(label).or_default().record(outcome, latency, self.speed, calls);
        self.calls_since_report = self.calls_since_report.saturating_add(calls);
        if outcome == CallOutcome::Failed {
            self.failures_since_report = self.failures_since_report.saturating_add(calls);
        }
        self.drop_old();
    }

    /// Returns whether a report is due: after [`REPORT_INTERVAL`], or at once when three or more
    /// calls, and at least half of all, have failed since the last report.
    pub fn is_due(&self, now: UnixMillis) -> bool {
        let shows_pattern = self.failures_since_report >= MIN_PATTERN_FAILURES
            && self.failures_since_report >= self.calls_since_report / 2;
        shows_pattern || self.last_report.is_none_or(|last| now.since(last) >= REPORT_INTERVAL)
    }

    /// Creates the report of the last two windows at `now`.
    pub fn report(&mut self, now: UnixMillis) -> EvidenceReport {
        let first = Window::new(Window::at(now).get().saturating_sub(REPORT_WINDOWS - 1));
        self.report_from(first, now)
    }

    /// Creates a report of all kept windows for a driver that is new to this node; the oldest cells
    /// are left out if they don't fit.
    pub fn full_report(&mut self, now: UnixMillis) -> EvidenceReport {
        self.report_from(Window::default(), now)
    }

    fn report_from(&mut self, first: Window, now: UnixMillis) -> EvidenceReport {
        self.last_report = Some(now);
        self.calls_since_report = 0;
        self.failures_since_report = 0;
        self.sequence += 1;
        let newest = self.cells.iter().rev().take(MAX_REPORT_CELLS);
        let cells = newest.take_while(|(label, _)| label.window >= first);
        EvidenceReport {
            service: self.service.clone(),
            node: self.node.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            cells: cells.map(|(label, stats)| (label.clone(), *stats)).collect(),
        }
    }

    fn drop_old(&mut self) {
        let Some((newest, _)) = self.cells.last_key_value() else { return };
        let mut first_kept = Window::new((newest.window.get() + 1).saturating_sub(MAX_WINDOWS));
        if self.cells.len() > MAX_RECORDER_CELLS
            && let Some((oldest, _)) = self.cells.first_key_value()
        {
            first_kept = first_kept.max(oldest.window.next());
        }
        while let Some(oldest) = self.cells.first_entry()
            && oldest.key().window < first_kept
        {
            oldest.remove();
        }
    }
}
