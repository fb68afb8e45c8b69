//! What a node counts of the backend server beside it.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, NodeId, RouteName, ServiceName, VersionName};
use crate::rollout::{
    CallOutcome, CallStats, CellLabel, EvidenceReport, HostSpeed, MAX_WINDOWS, Window,
};
use crate::units::{Micros, Millis, UnixMillis};

/// The time between two reports of a node.
pub const REPORT_INTERVAL: Millis = Millis::new(5_000);
/// Number of windows in an ordinary report: a lost report is made good by the next ones.
const REPORT_WINDOWS: u64 = 2;
/// Number of cells in a report at most, the newest ones: 600 KB with the longest names,
/// half of what a frame between nodes may hold.
const MAX_REPORT_CELLS: usize = 2_048;
/// Number of cells that a node keeps at most; the oldest windows go first.
const MAX_RECORDER_CELLS: usize = 16_384;
/// Number of failures since the last report from which a failure pattern can be seen.
const MIN_PATTERN_FAILURES: u32 = 3;

/// What a node counts of the backend server beside it, and when it reports it.
#[derive(Debug, Clone)]
pub struct EvidenceRecorder {
    service: ServiceName,
    node: NodeId,
    incarnation: Incarnation,
    speed: HostSpeed,
    /// At most [`MAX_RECORDER_CELLS`], of at most [`MAX_WINDOWS`] windows.
    cells: BTreeMap<CellLabel, CallStats>,
    sequence: u64,
    last_report: Option<UnixMillis>,
    calls_since_report: u32,
    failures_since_report: u32,
}

impl EvidenceRecorder {
    /// An empty count of a node on a host of `speed`.
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

    /// Counts calls that ended alike at `now`.
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

    /// Whether a report is due: after 5 s, or at once when at least half of
    /// three or more calls since the last report failed.
    pub fn is_due(&self, now: UnixMillis) -> bool {
        let shows_pattern = self.failures_since_report >= MIN_PATTERN_FAILURES
            && self.failures_since_report >= self.calls_since_report / 2;
        shows_pattern || self.last_report.is_none_or(|last| now.since(last) >= REPORT_INTERVAL)
    }

    /// The report of the last windows, as of `now`.
    pub fn report(&mut self, now: UnixMillis) -> EvidenceReport {
        let first = Window::new(Window::at(now).get().saturating_sub(REPORT_WINDOWS - 1));
        self.report_from(first, now)
    }

    /// The report of everything kept that fits in one, for a driver that is new to this node.
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
