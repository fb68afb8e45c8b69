//! Conversions of command outcomes and query answers.

use almondsail_core::config::{Config, HistoryEntry};
use almondsail_core::ids::ConfigVersion;
use almondsail_core::operators::{Answer, AnswerBody, NodeRow, VersionRow};
use almondsail_core::store::{Outcome, RefusedChange};

use super::fields::{optional_text, to_wire};
use crate::operator as wire;
use crate::operator::answer::Body;
use crate::operator::outcome::Outcome as WireOutcome;

impl From<&Answer> for wire::Answer {
    fn from(answer: &Answer) -> Self {
        Self {
            node: answer.node.to_string(),
            version: answer.version.get(),
            body: Some((&answer.body).into()),
        }
    }
}

impl From<&AnswerBody> for Body {
    fn from(body: &AnswerBody) -> Self {
        match body {
            AnswerBody::Config(cfg) => {
                Self::Config(cfg.as_deref().map(Into::into).unwrap_or_default())
            }
            AnswerBody::Services(rows) => {
                Self::Services(wire::Services { services: to_wire(rows) })
            }
            AnswerBody::Routes(rows) => Self::Routes(wire::Routes { routes: to_wire(rows) }),
            AnswerBody::Versions(rows) => {
                Self::Versions(wire::Versions { versions: to_wire(rows) })
            }
            AnswerBody::Rollouts(rows) => {
                Self::Rollouts(wire::Rollouts { rollouts: to_wire(rows) })
            }
            AnswerBody::Nodes(rows) => Self::Nodes(wire::Nodes { nodes: to_wire(rows) }),
            AnswerBody::History(rows) => Self::History(wire::History { entries: to_wire(rows) }),
        }
    }
}

impl From<&Config> for wire::ConfigAnswer {
    fn from(cfg: &Config) -> Self {
        Self {
            content: Some((&cfg.content).into()),
            digest: cfg.digest().to_string(),
            write_id: cfg.write_id.to_string(),
        }
    }
}

impl From<&VersionRow> for wire::VersionRow {
    fn from(row: &VersionRow) -> Self {
        Self {
            service: row.version.service.to_string(),
            version: row.version.version.to_string(),
            role: row.role.to_string(),
            stops: to_wire(&row.stops),
            servers: u32::try_from(row.servers).unwrap_or(u32::MAX),
        }
    }
}

impl From<&NodeRow> for wire::NodeRow {
    fn from(row: &NodeRow) -> Self {
        Self {
            peer: Some((&row.peer).into()),
            applied: row.applied.map(ConfigVersion::get),
            behind: row.behind,
        }
    }
}

impl From<&HistoryEntry> for wire::HistoryEntry {
    fn from(entry: &HistoryEntry) -> Self {
        Self {
            version: entry.version.get(),
            write_id: entry.write_id.to_string(),
            at_unix_ms: entry.at.get(),
            operator: entry.operator.to_string(),
            summary: entry.summary.to_string(),
            service: optional_text(entry.service.as_ref()),
        }
    }
}

impl From<&Outcome> for wire::Outcome {
    fn from(outcome: &Outcome) -> Self {
        let outcome = match outcome {
            Outcome::Accepted(version) => WireOutcome::Accepted(version.get()),
            Outcome::WouldAccept(changes) => {
                WireOutcome::WouldAccept(wire::WouldAccept { changes: changes.clone() })
            }
            Outcome::Refused(refusal) => WireOutcome::Refused(refusal.into()),
            Outcome::StoppedUnrecorded => WireOutcome::StoppedUnrecorded(true),
            Outcome::Unknown(write_id) => WireOutcome::Unknown(write_id.to_string()),
            Outcome::NotFound(write_id, version) => WireOutcome::NotFound(wire::NotFound {
                write_id: write_id.to_string(),
                version: version.get(),
            }),
        };
        Self { outcome: Some(outcome) }
    }
}

impl From<&RefusedChange> for wire::Refused {
    fn from(refusal: &RefusedChange) -> Self {
        let mistakes = match refusal {
            RefusedChange::Invalid(errors) => errors.iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        };
        let winner = match refusal {
            RefusedChange::Conflict(winner) => Some(winner.into()),
            _ => None,
        };
        Self { code: refusal_code(refusal).into(), message: refusal.to_string(), mistakes, winner }
    }
}

/// Returns the machine-readable code of a refusal.
const fn refusal_code(refusal: &RefusedChange) -> &'static str {
    match refusal {
        RefusedChange::Invalid(_) => "invalid",
        RefusedChange::Conflict(_) => "overtaken",
        RefusedChange::StoreUnreachable => "store_unreachable",
        RefusedChange::StoreCorrupt => "store_corrupt",
        RefusedChange::TooManyConflicts => "too_many_conflicts",
        RefusedChange::Stopping => "stopping",
        RefusedChange::Busy => "busy",
    }
}
