//! Sends operators' requests to the control thread.

use std::time::Duration;

use almondsail_core::config::{Change, ConfigContent, ConfigError};
use almondsail_core::ids::WriteId;
use almondsail_core::operators::{Answer, Command, CommandRequest, Query};
use almondsail_core::report::{ReportQuery, TeamReport};
use almondsail_core::store::{Outcome, RefusedChange, Submission};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::control::control_request::ControlRequest;
use crate::operators::operator_error::OperatorError;
use crate::settings::OperatorToken;

/// Time limit for an answer of the control thread. Longer than a write to the store with its
/// read-back, so that it rarely expires first.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time limit for a report, whose hours are read for 45 s at most.
const REPORT_TIMEOUT: Duration = Duration::from_secs(50);

/// Sends operators' requests to the control thread and waits for the answers.
#[derive(Debug, Clone)]
pub struct OperatorControl {
    requests: mpsc::Sender<ControlRequest>,
    clock: Clock,
}

impl OperatorControl {
    /// Creates a client of the control thread that receives from `requests`. Times in commands
    /// are resolved with `clock`.
    pub const fn new(requests: mpsc::Sender<ControlRequest>, clock: Clock) -> Self {
        Self { requests, clock }
    }

    /// Submits a command on behalf of `operator` and returns the outcome of its change.
    ///
    /// If the control thread has the change but does not answer, the outcome is
    /// [`Outcome::Unknown`].
    pub async fn submit_command(
        &self,
        operator: &OperatorToken,
        request: CommandRequest,
    ) -> Result<Outcome, OperatorError> {
        let change = match self.resolve_change(request.command).await? {
            Ok(change) => change,
            Err(e) => return Ok(Outcome::Refused(RefusedChange::Invalid(vec![e]))),
        };
        let submission = Submission {
            write_id: request.write_id,
            operator: operator.name.clone(),
            team: operator.team.clone(),
            base_version: request.base_version,
            change,
            dry_run: request.dry_run,
        };
        self.submit(submission).await
    }

    /// Looks up the outcome of the write `id`.
    ///
    /// A refusal concerns this lookup, not the write, so it is returned as an error.
    pub async fn outcome(&self, id: WriteId) -> Result<Outcome, OperatorError> {
        match self.request(|reply| ControlRequest::QueryOutcome(id, reply)).await? {
            Outcome::Refused(RefusedChange::Stopping) => Err(OperatorError::Stopping),
            Outcome::Refused(_) => Err(OperatorError::Busy),
            outcome => Ok(outcome),
        }
    }

    /// Answers `query` from the control state, or returns an error if the control thread is busy,
    /// stopping or late.
    pub async fn query(&self, query: Query) -> Result<Answer, OperatorError> {
        self.request(|reply| ControlRequest::Query(query, reply)).await
    }

    /// Builds the report of the team and time span in `query`.
    pub async fn report(&self, query: ReportQuery) -> Result<TeamReport, OperatorError> {
        let make_request = |reply| ControlRequest::Report(query, reply);
        self.request_within(REPORT_TIMEOUT, make_request).await?
    }

    async fn resolve_change(
        &self,
        command: Command,
    ) -> Result<Result<Change, ConfigError>, OperatorError> {
        let earlier: Option<ConfigContent> = match command.restored_version() {
            Some(version) => {
                self.request(|reply| ControlRequest::KeptContent(version, reply)).await?
            }
            None => None,
        };
        Ok(command.into_change(self.clock.wall(), earlier))
    }

    /// Submits a change. Once the control thread has received it, a missing answer means an
    /// unknown outcome, since the change may still take effect.
    async fn submit(&self, submission: Submission) -> Result<Outcome, OperatorError> {
        let write_id = submission.write_id;
        let answer =
            self.request(|reply| ControlRequest::Submit(Box::new(submission), reply)).await;
        match answer {
            Err(OperatorError::NoAnswer) => Ok(Outcome::Unknown(write_id)),
            other => other,
        }
    }

    /// Sends a request and waits for its answer. After `Busy` and `Stopping` the control thread
    /// has not received the request.
    async fn request<T>(
        &self,
        make_request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Result<T, OperatorError> {
        self.request_within(ANSWER_TIMEOUT, make_request).await
    }

    async fn request_within<T>(
        &self,
        limit: Duration,
        make_request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Result<T, OperatorError> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(make_request(reply)).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => OperatorError::Busy,
            mpsc::error::TrySendError::Closed(_) => OperatorError::Stopping,
        })?;
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(OperatorError::NoAnswer),
        }
    }
}
