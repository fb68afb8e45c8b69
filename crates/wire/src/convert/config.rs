//! Conversions of configurations and their parts.

use std::collections::{BTreeMap, BTreeSet};

use almondsail_core::config::{
    Config, ConfigContent, HistoryEntry, Rollout, Route, ServerVersion, Service, StopMark,
};
use almondsail_core::ids::ConfigVersion;
use almondsail_core::units::{Millis, UnixMillis};

use super::fields::{
    convert_each, optional_text, parse, parse_optional, per_mille, plain_text, required, to_wire,
    write_id,
};
use crate::{FieldError, config as wire};

impl From<&Service> for wire::Service {
    fn from(service: &Service) -> Self {
        Self {
            name: service.name.to_string(),
            team: service.team.to_string(),
            stable: optional_text(service.stable.as_ref()),
        }
    }
}

impl TryFrom<wire::Service> for Service {
    type Error = FieldError;

    fn try_from(w: wire::Service) -> Result<Self, FieldError> {
        Ok(Self {
            name: parse("name", &w.name)?,
            team: parse("team", &w.team)?,
            stable: parse_optional("stable", &w.stable)?,
        })
    }
}

impl From<&Route> for wire::Route {
    fn from(route: &Route) -> Self {
        Self {
            name: route.name.to_string(),
            service: route.service.to_string(),
            prefix: route.prefix.to_string(),
            priority: route.priority.to_string(),
            idempotent: route.idempotent,
            deadline_ms: route.deadline.get(),
        }
    }
}

impl TryFrom<wire::Route> for Route {
    type Error = FieldError;

    fn try_from(w: wire::Route) -> Result<Self, FieldError> {
        Ok(Self {
            name: parse("name", &w.name)?,
            service: parse("service", &w.service)?,
            prefix: parse("prefix", &w.prefix)?,
            priority: parse("priority", &w.priority)?,
            idempotent: w.idempotent,
            deadline: Millis::new(w.deadline_ms),
        })
    }
}

impl From<&ServerVersion> for wire::ServerVersion {
    fn from(version: &ServerVersion) -> Self {
        Self { service: version.service.to_string(), version: version.version.to_string() }
    }
}

impl TryFrom<wire::ServerVersion> for ServerVersion {
    type Error = FieldError;

    fn try_from(w: wire::ServerVersion) -> Result<Self, FieldError> {
        Ok(Self { service: parse("service", &w.service)?, version: parse("version", &w.version)? })
    }
}

impl From<&Rollout> for wire::Rollout {
    fn from(rollout: &Rollout) -> Self {
        Self {
            service: rollout.service.to_string(),
            from: rollout.from.to_string(),
            to: rollout.to.to_string(),
            started_unix_ms: rollout.started.get(),
            deadline_unix_ms: rollout.deadline.get(),
            phase: rollout.phase.to_string(),
            share_per_mille: rollout.share.get().into(),
            non_idempotent_share_per_mille: rollout.non_idempotent_share.get().into(),
            changed_unix_ms: rollout.changed.get(),
            reason: rollout.reason.to_string(),
        }
    }
}

impl TryFrom<wire::Rollout> for Rollout {
    type Error = FieldError;

    fn try_from(w: wire::Rollout) -> Result<Self, FieldError> {
        Ok(Self {
            service: parse("service", &w.service)?,
            from: parse("from", &w.from)?,
            to: parse("to", &w.to)?,
            started: UnixMillis::new(w.started_unix_ms),
            deadline: UnixMillis::new(w.deadline_unix_ms),
            phase: parse("phase", &w.phase)?,
            share: per_mille("share_per_mille", w.share_per_mille)?,
            non_idempotent_share: per_mille(
                "non_idempotent_share_per_mille",
                w.non_idempotent_share_per_mille,
            )?,
            changed: UnixMillis::new(w.changed_unix_ms),
            reason: plain_text("reason", w.reason)?,
        })
    }
}

impl From<&StopMark> for wire::StopMark {
    fn from(stop: &StopMark) -> Self {
        Self {
            service: stop.service.to_string(),
            version: stop.version.to_string(),
            route: optional_text(stop.route.as_ref()),
        }
    }
}

impl TryFrom<wire::StopMark> for StopMark {
    type Error = FieldError;

    fn try_from(w: wire::StopMark) -> Result<Self, FieldError> {
        Ok(Self {
            service: parse("service", &w.service)?,
            version: parse("version", &w.version)?,
            route: parse_optional("route", &w.route)?,
        })
    }
}

impl From<&HistoryEntry> for wire::HistoryEntry {
    fn from(entry: &HistoryEntry) -> Self {
        Self {
            version: entry.version.get(),
            write_id: entry.write_id.as_bytes().to_vec(),
            at_unix_ms: entry.at.get(),
            operator: entry.operator.to_string(),
            summary: entry.summary.to_string(),
            service: optional_text(entry.service.as_ref()),
        }
    }
}

impl TryFrom<wire::HistoryEntry> for HistoryEntry {
    type Error = FieldError;

    fn try_from(w: wire::HistoryEntry) -> Result<Self, FieldError> {
        Ok(Self {
            version: ConfigVersion::new(w.version),
            write_id: write_id("write_id", &w.write_id)?,
            at: UnixMillis::new(w.at_unix_ms),
            operator: parse("operator", &w.operator)?,
            summary: plain_text("summary", w.summary)?,
            service: parse_optional("service", &w.service)?,
        })
    }
}

impl From<&ConfigContent> for wire::Content {
    fn from(content: &ConfigContent) -> Self {
        Self {
            services: to_wire(content.services.values()),
            routes: to_wire(content.routes.values()),
            versions: to_wire(&content.versions),
            rollouts: to_wire(content.rollouts.values()),
            stops: to_wire(&content.stops),
        }
    }
}

impl TryFrom<wire::Content> for ConfigContent {
    type Error = FieldError;

    fn try_from(w: wire::Content) -> Result<Self, FieldError> {
        let services: Vec<Service> = convert_each("services", w.services)?;
        let routes: Vec<Route> = convert_each("routes", w.routes)?;
        let versions: Vec<ServerVersion> = convert_each("versions", w.versions)?;
        let rollouts: Vec<Rollout> = convert_each("rollouts", w.rollouts)?;
        let stops: Vec<StopMark> = convert_each("stops", w.stops)?;
        Ok(Self {
            services: map_by_key("services", services, |s| s.name.clone())?,
            routes: map_by_key("routes", routes, |r| r.name.clone())?,
            versions: BTreeSet::from_iter(versions),
            rollouts: map_by_key("rollouts", rollouts, |r| r.service.clone())?,
            stops: BTreeSet::from_iter(stops),
        })
    }
}

/// Collects `values` into a map by key; a duplicate key is an error.
fn map_by_key<K: Ord, V>(
    field: &str,
    values: Vec<V>,
    key: impl Fn(&V) -> K,
) -> Result<BTreeMap<K, V>, FieldError> {
    let mut map = BTreeMap::new();
    for (i, value) in values.into_iter().enumerate() {
        if map.insert(key(&value), value).is_some() {
            return Err(FieldError::new(format!("{field}[{i}]"), "duplicate name"));
        }
    }
    Ok(map)
}

impl From<&Config> for wire::Config {
    fn from(cfg: &Config) -> Self {
        Self {
            version: cfg.version.get(),
            write_id: cfg.write_id.as_bytes().to_vec(),
            content: Some((&cfg.content).into()),
            history: to_wire(&cfg.history),
            digest: cfg.digest().as_bytes().to_vec(),
        }
    }
}

impl TryFrom<wire::Config> for Config {
    type Error = FieldError;

    /// Converts the configuration; fails if its digest differs from the stated one.
    fn try_from(w: wire::Config) -> Result<Self, FieldError> {
        let content = required("content", w.content)?;
        let cfg = Self {
            version: ConfigVersion::new(w.version),
            write_id: write_id("write_id", &w.write_id)?,
            content: content.try_into().map_err(|e: FieldError| e.within("content"))?,
            history: convert_each("history", w.history)?,
        };
        if cfg.digest().as_bytes() != w.digest.as_slice() {
            return Err(FieldError::new("digest", "does not match the configuration"));
        }
        Ok(cfg)
    }
}
