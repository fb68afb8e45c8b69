//! The body of an answer to an operator.

use std::sync::Arc;

use crate::config::{Config, HistoryEntry, Rollout, Route, Service};
use crate::operators::{NodeRow, VersionRow};

/// What was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerBody {
    /// The configuration in force, if there is one.
    Config(Option<Arc<Config>>),
    /// Services, by name.
    Services(Vec<Service>),
    /// Routes, by name.
    Routes(Vec<Route>),
    /// Versions, by service and name.
    Versions(Vec<VersionRow>),
    /// Rollouts, by service.
    Rollouts(Vec<Rollout>),
    /// Nodes, or the backend servers beside them, by data centre and name.
    Nodes(Vec<NodeRow>),
    /// Accepted changes, the latest first.
    History(Vec<HistoryEntry>),
}
