//! Requests from the operators' HTTP server to the control thread.

use almondsail_core::config::ConfigContent;
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::operators::{Answer, Query};
use almondsail_core::report::{ReportQuery, TeamReport};
use almondsail_core::store::{Outcome, Submission};
use tokio::sync::oneshot;

use crate::operators::operator_error::OperatorError;

/// An operator's request to the control thread, with the channel for its answer.
///
/// Sending the answer fails if the operator disconnected meanwhile; that is no error.
#[derive(Debug)]
pub enum ControlRequest {
    /// Submits a change to the configuration.
    Submit(Box<Submission>, oneshot::Sender<Outcome>),
    /// Looks up the outcome of the change with this write id.
    QueryOutcome(WriteId, oneshot::Sender<Outcome>),
    /// Queries the configuration in force, its services and rollouts, or the nodes.
    Query(Query, oneshot::Sender<Answer>),
    /// Returns the content of an earlier configuration version; `None` if it is no longer kept.
    KeptContent(ConfigVersion, oneshot::Sender<Option<ConfigContent>>),
    /// Builds the report of a team's calls, changes and costs.
    Report(ReportQuery, oneshot::Sender<Result<TeamReport, OperatorError>>),
}
