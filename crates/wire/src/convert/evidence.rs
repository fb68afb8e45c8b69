//! Conversions of the evidence reports that nodes send during a rollout.

use almondsail_core::ids::Incarnation;
use almondsail_core::rollout::{CallStats, CellLabel, EvidenceReport, LatencyCounts, Window};

use super::fields::parse;
use crate::{FieldError, peer as wire};

impl From<&(CellLabel, CallStats)> for wire::EvidenceCell {
    fn from((label, stats): &(CellLabel, CallStats)) -> Self {
        let counts = stats.latency.counts();
        let used = counts.iter().rposition(|&n| n > 0).map_or(0, |last| last + 1);
        Self {
            window: label.window.get(),
            route: label.route.to_string(),
            version: label.version.to_string(),
            calls: stats.calls,
            failures: stats.failures,
            refused: stats.refused,
            latency: counts[..used].to_vec(),
        }
    }
}

impl TryFrom<wire::EvidenceCell> for (CellLabel, CallStats) {
    type Error = FieldError;

    fn try_from(w: wire::EvidenceCell) -> Result<Self, FieldError> {
        let label = CellLabel {
            window: Window::new(w.window),
            route: parse("route", &w.route)?,
            version: parse("version", &w.version)?,
        };
        if w.failures > w.calls {
            return Err(FieldError::new("failures", "exceeds calls"));
        }
        let mut counts = [0; LatencyCounts::BUCKETS];
        let Some(used) = counts.get_mut(..w.latency.len()) else {
            let problem = format_args!("expected at most {} buckets", LatencyCounts::BUCKETS);
            return Err(FieldError::new("latency", problem));
        };
        used.copy_from_slice(&w.latency);
        let stats = CallStats {
            calls: w.calls,
            failures: w.failures,
            refused: w.refused,
            latency: LatencyCounts::new(counts),
        };
        Ok((label, stats))
    }
}

impl From<&EvidenceReport> for wire::Evidence {
    fn from(report: &EvidenceReport) -> Self {
        Self {
            service: report.service.to_string(),
            node: report.node.to_string(),
            incarnation: report.incarnation.get(),
            sequence: report.sequence,
            cells: report.cells.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::Evidence> for EvidenceReport {
    type Error = FieldError;

    fn try_from(w: wire::Evidence) -> Result<Self, FieldError> {
        let cell = |(i, cell): (usize, wire::EvidenceCell)| {
            <(CellLabel, CallStats)>::try_from(cell)
                .map_err(|e| e.within(format_args!("cells[{i}]")))
        };
        Ok(Self {
            service: parse("service", &w.service)?,
            node: parse("node", &w.node)?,
            incarnation: Incarnation::new(w.incarnation),
            sequence: w.sequence,
            cells: w.cells.into_iter().enumerate().map(cell).collect::<Result<_, _>>()?,
        })
    }
}
