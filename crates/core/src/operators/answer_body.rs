//! The result of an operator's query.

use std::sync::Arc;

use crate::config::{Config, HistoryEntry, Rollout, Route, Service};
use crate::operators::{NodeRow, VersionRow};

/// The result of an operator's query, by kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerBody {
    /// The configuration in force; `None` if the node has none.
    Config(Option<Arc<Config>>),
    /// All services, sorted by name.
    Services(Vec<Service>),
    /// All routes, sorted by name.
    Routes(Vec<Route>),
    /// The selected versions, sorted by service and name.
    Versions(Vec<VersionRow>),
    /// The selected rollouts, sorted by service.
    Rollouts(Vec<Rollout>),
    /// The selected nodes with their backend servers, sorted by data centre and node id.
    Nodes(Vec<NodeRow>),
    /// The selected accepted changes, newest first.
    History(Vec<HistoryEntry>),
}
