//! Conversions of the usage counts behind the teams' reports.

use std::collections::BTreeMap;

use almondsail_core::config::ServerVersion;
use almondsail_core::ids::{ConfigVersion, TeamName};
use almondsail_core::report::{
    AccountingRecord, CallCounts, ChangeSums, Cost, HourSums, HourValue, Minute, NodeMinutes,
    RolloutEnd, RolloutRecord, Sums,
};
use almondsail_core::units::{ByteCount, Micros, Millis, UnixMillis};

use super::fields::{
    convert_each, optional_text, parse, parse_optional, required, to_wire, write_id,
};
use crate::{FieldError, report as wire};

impl From<(&TeamName, &CallCounts)> for wire::TeamCalls {
    fn from((team, counts): (&TeamName, &CallCounts)) -> Self {
        Self {
            team: team.to_string(),
            delivered: counts.delivered,
            late: counts.late,
            refused: counts.refused,
            in_doubt: counts.in_doubt,
        }
    }
}

impl TryFrom<wire::TeamCalls> for (TeamName, CallCounts) {
    type Error = FieldError;

    fn try_from(w: wire::TeamCalls) -> Result<Self, FieldError> {
        let counts = CallCounts {
            delivered: w.delivered,
            late: w.late,
            refused: w.refused,
            in_doubt: w.in_doubt,
        };
        Ok((parse("team", &w.team)?, counts))
    }
}

impl From<(&ServerVersion, &u64)> for wire::VersionCalls {
    fn from((version, calls): (&ServerVersion, &u64)) -> Self {
        Self {
            service: version.service.to_string(),
            version: version.version.to_string(),
            calls: *calls,
        }
    }
}

impl TryFrom<wire::VersionCalls> for (ServerVersion, u64) {
    type Error = FieldError;

    fn try_from(w: wire::VersionCalls) -> Result<Self, FieldError> {
        let (service, version) = (parse("service", &w.service)?, parse("version", &w.version)?);
        Ok((ServerVersion { service, version }, w.calls))
    }
}

impl From<&RolloutRecord> for wire::Rollout {
    fn from(record: &RolloutRecord) -> Self {
        let end = match record.end {
            RolloutEnd::InTime => wire::RolloutEnd::InTime,
            RolloutEnd::Late => wire::RolloutEnd::Late,
            // `Sums::new_version_calls` carries the calls of the new version.
            RolloutEnd::RolledBack { .. } => wire::RolloutEnd::RolledBack,
        };
        Self {
            team: record.team.to_string(),
            service: record.service.to_string(),
            version: record.version.to_string(),
            started_unix_ms: record.started.get(),
            ended_unix_ms: record.ended.get(),
            end: end.into(),
        }
    }
}

impl TryFrom<wire::Rollout> for RolloutRecord {
    type Error = FieldError;

    fn try_from(w: wire::Rollout) -> Result<Self, FieldError> {
        let end = match w.end() {
            wire::RolloutEnd::InTime => RolloutEnd::InTime,
            wire::RolloutEnd::Late => RolloutEnd::Late,
            wire::RolloutEnd::RolledBack => RolloutEnd::RolledBack { new_version_calls: None },
            wire::RolloutEnd::Unspecified => return Err(FieldError::new("end", "missing")),
        };
        Ok(Self {
            team: parse("team", &w.team)?,
            service: parse("service", &w.service)?,
            version: parse("version", &w.version)?,
            started: UnixMillis::new(w.started_unix_ms),
            ended: UnixMillis::new(w.ended_unix_ms),
            end,
        })
    }
}

impl From<(&ConfigVersion, &ChangeSums)> for wire::Change {
    fn from((version, change): (&ConfigVersion, &ChangeSums)) -> Self {
        Self {
            version: version.get(),
            team: optional_text(change.team.as_ref()),
            accepted_unix_ms: change.accepted.get(),
            nodes: change.nodes,
            expected: change.expected,
            longest_ms: change.longest.get(),
        }
    }
}

impl TryFrom<wire::Change> for (ConfigVersion, ChangeSums) {
    type Error = FieldError;

    fn try_from(w: wire::Change) -> Result<Self, FieldError> {
        let change = ChangeSums {
            team: parse_optional("team", &w.team)?,
            accepted: UnixMillis::new(w.accepted_unix_ms),
            nodes: w.nodes,
            expected: w.expected,
            longest: Millis::new(w.longest_ms),
        };
        Ok((ConfigVersion::new(w.version), change))
    }
}

impl From<&Sums> for wire::Sums {
    fn from(sums: &Sums) -> Self {
        Self {
            cpu_us: sums.cost.cpu.get(),
            bytes: sums.cost.bytes.get(),
            store_calls: sums.cost.store_calls,
            teams: sums.teams.iter().map(Into::into).collect(),
            touched: sums.new_version_calls.iter().map(Into::into).collect(),
            rollouts: to_wire(sums.rollouts.values()),
            changes: sums.changes.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::Sums> for Sums {
    type Error = FieldError;

    fn try_from(w: wire::Sums) -> Result<Self, FieldError> {
        let rollouts: Vec<RolloutRecord> = convert_each("rollouts", w.rollouts)?;
        Ok(Self {
            cost: Cost {
                cpu: Micros::new(w.cpu_us),
                bytes: ByteCount::new(w.bytes),
                store_calls: w.store_calls,
            },
            teams: convert_map("teams", w.teams)?,
            new_version_calls: convert_map("touched", w.touched)?,
            rollouts: rollouts.into_iter().map(|record| (record.key(), record)).collect(),
            changes: convert_map("changes", w.changes)?,
        })
    }
}

impl From<&AccountingRecord> for wire::Record {
    fn from(record: &AccountingRecord) -> Self {
        Self {
            node: record.node.to_string(),
            minute: record.minute.get(),
            is_whole: record.covers_minute,
            sums: Some((&record.sums).into()),
        }
    }
}

impl TryFrom<wire::Record> for AccountingRecord {
    type Error = FieldError;

    fn try_from(w: wire::Record) -> Result<Self, FieldError> {
        Ok(Self {
            node: parse("node", &w.node)?,
            minute: Minute::new(w.minute),
            covers_minute: w.is_whole,
            sums: required("sums", w.sums)?.try_into().map_err(|e: FieldError| e.within("sums"))?,
        })
    }
}

impl From<&HourValue> for wire::Hour {
    fn from(value: &HourValue) -> Self {
        let minute = |(minute, nodes): (&Minute, &NodeMinutes)| wire::NodeMinutes {
            minute: minute.get(),
            expected: nodes.expected,
            received: nodes.received,
        };
        Self {
            minutes: value.sums.minutes.iter().map(minute).collect(),
            sums: Some((&value.sums.sums).into()),
            writes: value.writes.iter().map(|id| id.as_bytes().to_vec()).collect(),
            digest: Vec::new(),
        }
    }
}

impl TryFrom<wire::Hour> for HourValue {
    type Error = FieldError;

    fn try_from(w: wire::Hour) -> Result<Self, FieldError> {
        let minute = |w: wire::NodeMinutes| {
            let nodes = NodeMinutes { expected: w.expected, received: w.received };
            (Minute::new(w.minute), nodes)
        };
        let sums = HourSums {
            minutes: w.minutes.into_iter().map(minute).collect(),
            sums: required("sums", w.sums)?.try_into().map_err(|e: FieldError| e.within("sums"))?,
        };
        let writes = w.writes.iter().map(|id| write_id("writes", id)).collect::<Result<_, _>>()?;
        Ok(Self { sums, writes })
    }
}

/// Converts a repeated field to a map whose elements carry their key.
fn convert_map<W, K: Ord, V>(field: &str, values: Vec<W>) -> Result<BTreeMap<K, V>, FieldError>
where
    (K, V): TryFrom<W, Error = FieldError>,
{
    Ok(convert_each::<W, (K, V)>(field, values)?.into_iter().collect())
}
