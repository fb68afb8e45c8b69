//! Merged evidence of the nodes of a service.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Incarnation, NodeId, RouteName, VersionName};
use crate::rollout::{CallStats, EvidenceReport, MAX_CLOCK_SKEW, Window};
use crate::units::UnixMillis;

/// The number of windows that are kept: 80 min cover the hour after a rollout and the old
/// version's last minutes before it.
pub const MAX_WINDOWS: u64 = 480;
/// The largest number of cells that are kept; the oldest windows are dropped first.
pub const MAX_CELLS: usize = 65_536;
/// The number of latest reports of a node among which missing ones are counted.
const REPORTS_TRACKED: u64 = 64;
/// The largest number of node incarnations whose sequence numbers are tracked; the first by name
/// are dropped first.
const MAX_TRACKED_NODES: usize = 1_024;

/// Identifies the counter of one version on one route at one node incarnation, within a window.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CellKey {
    route: RouteName,
    version: VersionName,
    node: NodeId,
    incarnation: Incarnation,
}

/// The merged call counts that the nodes of one service reported.
///
/// Each cell holds the latest known state of one node's counter. Counters only grow, so the higher
/// count is the later one, and reports that arrive twice, late or out of order merge to the same
/// evidence. Calls of lost reports are missing and not estimated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The cells by window. No window is empty, and none is before `first_kept`.
    windows: BTreeMap<Window, BTreeMap<CellKey, CallStats>>,
    /// The number of cells in `windows`, at most [`MAX_CELLS`] after each merge.
    cells: usize,
    /// The first window that reports may still add to. Never decreases.
    first_kept: Window,
    /// The latest sequence numbers received from each node incarnation.
    sequences: BTreeMap<(NodeId, Incarnation), BTreeSet<u64>>,
}

impl Evidence {
    /// Merges a report that arrives at `now`.
    ///
    /// Ignores windows that begin more than [`MAX_CLOCK_SKEW`] after `now`, so that one wrong clock
    /// can't displace all other evidence.
    pub fn merge(&mut self, report: &EvidenceReport, now: UnixMillis) {
        let last = Window::at(now + MAX_CLOCK_SKEW);
        let kept = self.first_kept..=last.max(self.first_kept);
        for (label, stats) in report.cells.iter().filter(|(l, _)| kept.contains(&l.window)) {
            let key = CellKey {
                route: label.route.clone(),
                version: label.version.clone(),
                node: report.node.clone(),
                incarnation: report.incarnation,
            };
            let window = self.windows.entry(label.window).or_default();
            let before = window.len();
            window.entry(key).or_default().join(stats);
            self.cells += window.len() - before;
        }
        self.track_sequence(report);
        self.drop_old();
    }

    /// Returns the route, version, node and counts of every cell of `window`.
    pub fn window(
        &self,
        window: Window,
    ) -> impl Iterator<Item = (&RouteName, &VersionName, &NodeId, &CallStats)> {
        let cells = self.windows.get(&window).into_iter().flatten();
        cells.map(|(key, stats)| (&key.route, &key.version, &key.node, stats))
    }

    /// Returns the sum of the counts of `version` on `route` in the windows from `first` on.
    pub fn total(&self, first: Window, route: &RouteName, version: &VersionName) -> CallStats {
        let mut total = CallStats::default();
        let cells = self.windows.range(first..).flat_map(|(_, cells)| cells);
        for (_, stats) in cells.filter(|(key, _)| key.route == *route && key.version == *version) {
            total.add(stats);
        }
        total
    }

    /// Returns the windows from `first` to `last`, both included, that have evidence.
    pub fn windows(&self, first: Window, last: Window) -> impl Iterator<Item = Window> {
        self.windows.range(first..=last.max(first)).map(|(window, _)| *window)
    }

    /// Returns the number of reports that are missing among the latest ones of every node.
    pub fn missing_reports(&self) -> u64 {
        let gaps = |received: &BTreeSet<u64>| match (received.first(), received.last()) {
            (Some(first), Some(last)) => last - first + 1 - received.len() as u64,
            _ => 0,
        };
        self.sequences.values().map(gaps).sum()
    }

    /// Returns the number of cells held, over all windows.
    pub const fn len(&self) -> usize {
        self.cells
    }

    /// Returns whether no cell is held.
    pub const fn is_empty(&self) -> bool {
        self.cells == 0
    }

    fn track_sequence(&mut self, report: &EvidenceReport) {
        let process = (report.node.clone(), report.incarnation);
        let received = self.sequences.entry(process).or_default();
        received.insert(report.sequence);
        while let (Some(first), Some(last)) = (received.first(), received.last())
            && last - first >= REPORTS_TRACKED
        {
            received.pop_first();
        }
        while self.sequences.len() > MAX_TRACKED_NODES {
            self.sequences.pop_first();
        }
    }

    fn drop_old(&mut self) {
        let Some((newest, _)) = self.windows.last_key_value() else { return };
        let kept_from = (newest.get() + 1).saturating_sub(MAX_WINDOWS);
        self.first_kept = self.first_kept.max(Window::new(kept_from));
        while let Some(oldest) = self.windows.first_entry()
            && (self.cells > MAX_CELLS || *oldest.key() < self.first_kept)
        {
            self.first_kept = self.first_kept.max(oldest.key().next());
            self.cells -= oldest.remove().len();
        }
    }
}
