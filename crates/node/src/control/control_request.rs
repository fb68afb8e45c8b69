//! Requests of operators to the control thread.

use almondsail_core::config::ConfigContent;
use almondsail_core::ids::{ConfigVersion, WriteId};
use almondsail_core::operators::{Answer, Query};
use almondsail_core::report::{ReportQuery, TeamReport};
use almondsail_core::store::{Outcome, Submission};
use tokio::sync::oneshot;

use crate::operators::operator_error::OperatorError;

/// A request of an operator to the control thread, with the place for its answer.
///
/// The operator may have gone before the answer; then sending it fails, and the
/// failure has no meaning.
#[derive(Debug)]
pub enum ControlRequest {
    /// Submit a change.
    Submit(Box<Submission>, oneshot::Sender<Outcome>),
    /// Say how the change with this write id ended.
    AskOutcome(WriteId, oneshot::Sender<Outcome>),
    /// Answer a question.
    Query(Query, oneshot::Sender<Answer>),
    /// Give the content of an earlier configuration version; `None` if it is not kept.
    KeptContent(ConfigVersion, oneshot::Sender<Option<ConfigContent>>),
    /// Give the report of a team.
    Report(ReportQuery, oneshot::Sender<Result<TeamReport, OperatorError>>),
}
