//! The state from which a node answers operators.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::{Config, HistoryEntry, Rollout, RolloutPhase, ServerVersion, StopMark};
use crate::ids::{ConfigVersion, NodeId, ServiceName};
use crate::operators::{Answer, AnswerBody, KnownNode, NodeRow, Query, VersionRole, VersionRow};
use crate::peers::{BackendState, Peer};

/// The state from which a node answers operators' queries.
#[derive(Debug, Clone, Copy)]
pub struct QueryContext<'a> {
    /// The id of the answering node.
    pub node: &'a NodeId,
    /// The configuration in force on the answering node; `None` before the first one.
    pub config: Option<&'a Arc<Config>>,
    /// The stop marks received from peers, which may not be in the configuration yet.
    pub stops: &'a BTreeSet<StopMark>,
    /// Every known node, including the answering one.
    pub nodes: &'a [KnownNode<'a>],
}

impl QueryContext<'_> {
    /// Returns the answer to `query`. Only queries of nodes give rows without a configuration.
    pub fn answer(&self, query: &Query) -> Answer {
        let body = match query {
            Query::Config => AnswerBody::Config(self.config.cloned()),
            Query::Services => AnswerBody::Services(
                self.config_rows(|cfg| cfg.content.services.values().cloned().collect()),
            ),
            Query::Routes => AnswerBody::Routes(
                self.config_rows(|cfg| cfg.content.routes.values().cloned().collect()),
            ),
            Query::Versions(service) => AnswerBody::Versions(self.versions(service.as_ref())),
            Query::Rollouts(service) => AnswerBody::Rollouts(self.rollouts(service.as_ref())),
            Query::History(service) => AnswerBody::History(self.history(service.as_ref())),
            Query::Nodes { data_centre, lagging } => AnswerBody::Nodes(self.nodes_where(|row| {
                passes_filter(data_centre.as_ref(), &row.peer.data_centre)
                    && (!lagging || row.is_lagging())
            })),
            Query::Where { service, version, data_centre } => {
                AnswerBody::Nodes(self.nodes_where(|row| {
                    passes_filter(data_centre.as_ref(), &row.peer.data_centre)
                        && row.peer.backend.as_ref().is_some_and(|backend| {
                            backend.service == *service
                                && passes_filter(version.as_ref(), &backend.version)
                        })
                }))
            }
        };
        let version = self.config.map_or(ConfigVersion::default(), |cfg| cfg.version);
        Answer { node: self.node.clone(), version, body }
    }

    fn config_rows<T>(&self, rows: impl Fn(&Config) -> Vec<T>) -> Vec<T> {
        self.config.map(|cfg| rows(cfg)).unwrap_or_default()
    }

    fn versions(&self, service: Option<&ServiceName>) -> Vec<VersionRow> {
        self.config_rows(|cfg| {
            let chosen = cfg.content.versions.iter().filter(|v| passes_filter(service, &v.service));
            chosen.map(|version| self.version_row(cfg, version)).collect()
        })
    }

    fn version_row(&self, cfg: &Config, version: &ServerVersion) -> VersionRow {
        let is_mark =
            |stop: &&StopMark| stop.service == version.service && stop.version == version.version;
        let stops = self.stops.union(&cfg.content.stops).filter(is_mark).cloned().collect();
        let servers = self.nodes.iter().filter(|node| takes_calls(node.peer, version)).count();
        VersionRow { version: version.clone(), role: role_of(cfg, version), stops, servers }
    }

    fn rollouts(&self, service: Option<&ServiceName>) -> Vec<Rollout> {
        self.config_rows(|cfg| {
            let rollouts = cfg.content.rollouts.values();
            rollouts.filter(|r| passes_filter(service, &r.service)).cloned().collect()
        })
    }

    fn history(&self, service: Option<&ServiceName>) -> Vec<HistoryEntry> {
        self.config_rows(|cfg| {
            let entries = cfg.history.iter().rev();
            entries.filter(|e| may_concern(e, service)).cloned().collect()
        })
    }

    fn nodes_where(&self, is_wanted: impl Fn(&NodeRow) -> bool) -> Vec<NodeRow> {
        let newest = self.newest();
        let row = |node: &KnownNode<'_>| NodeRow {
            peer: node.peer.clone(),
            applied: node.applied,
            behind: node.applied.map(|v| newest.get().saturating_sub(v.get())),
        };
        let mut rows: Vec<NodeRow> = self.nodes.iter().map(row).filter(is_wanted).collect();
        rows.sort_by(|a, b| {
            (&a.peer.data_centre, &a.peer.id).cmp(&(&b.peer.data_centre, &b.peer.id))
        });
        rows
    }

    /// Returns the newest configuration version that is in force on any known node.
    fn newest(&self) -> ConfigVersion {
        let own = self.config.map(|cfg| cfg.version);
        let heard = self.nodes.iter().filter_map(|node| node.applied);
        own.into_iter().chain(heard).max().unwrap_or_default()
    }
}

/// Returns whether `value` equals `wanted`. An absent filter passes every value.
fn passes_filter<T: PartialEq>(wanted: Option<&T>, value: &T) -> bool {
    wanted.is_none_or(|wanted| wanted == value)
}

fn takes_calls(peer: &Peer, version: &ServerVersion) -> bool {
    peer.status.takes_calls()
        && peer.backend.as_ref().is_some_and(|backend| {
            backend.service == version.service
                && backend.version == version.version
                && backend.state != BackendState::Draining
        })
}

fn role_of(cfg: &Config, version: &ServerVersion) -> VersionRole {
    let service = cfg.content.services.get(&version.service);
    if service.is_some_and(|s| s.stable.as_ref() == Some(&version.version)) {
        return VersionRole::Stable;
    }
    match cfg.content.rollouts.get(&version.service) {
        Some(r) if r.phase.is_open() && r.to == version.version => VersionRole::Incoming,
        Some(r) if r.phase == RolloutPhase::Completed && r.from == version.version => {
            VersionRole::Previous
        }
        _ => VersionRole::Idle,
    }
}

/// Returns whether the change of `entry` may concern `service`. A change of several
/// services is listed under each of them.
fn may_concern(entry: &HistoryEntry, service: Option<&ServiceName>) -> bool {
    service.is_none() || entry.service.is_none() || entry.service.as_ref() == service
}
