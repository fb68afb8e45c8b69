//! Jobs of the store writer.

use std::sync::Arc;

use crate::config::{Config, ConfigContent, Delta, HistoryEntry, MAX_HISTORY_ENTRIES};
use crate::ids::{ConfigVersion, WriteId};
use crate::store::edit_text::describe_edit;
use crate::store::scope::{check_team, find_conflict, single_service};
use crate::store::{
    JobId, Outcome, RefusedChange, Revision, StoreError, StoreReply, StoreRequest, StoredConfig,
    Submission,
};
use crate::units::{Instant, UnixMillis};

/// Number of conflicts that a submission may meet; the next one refuses it.
const MAX_CONFLICTS: u8 = 16;

/// The goal of a job.
#[derive(Debug, Clone)]
pub(crate) enum Task {
    /// Write a change to the store.
    Submit(Box<Submission>),
    /// Find the outcome of the change with this write id.
    FindOutcome(WriteId),
}

/// What a job is waiting for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The time of the next attempt, which begins with a read.
    Idle,
    /// The reply to a read of the configuration.
    Reading,
    /// The reply to a compare-and-swap of the configuration.
    Writing,
}

/// The next action of a job.
#[derive(Debug, Clone)]
pub(crate) enum JobStep {
    /// Make the next attempt.
    Retry {
        /// Whether to wait for a backoff first, because of a failure or repeated conflicts.
        backoff: bool,
    },
    /// Send this request to the store.
    Request(StoreRequest),
    /// End with this outcome, and the configuration that the store was seen to hold.
    Done(Outcome, Option<Arc<Config>>),
}

/// A pending submission, or a pending query for the outcome of one.
#[derive(Debug, Clone)]
pub(crate) struct StoreJob {
    pub(crate) id: JobId,
    pub(crate) submitted: Instant,
    task: Task,
    phase: Phase,
    /// The last compare-and-swap, while it may have taken effect or may still do so. Nothing
    /// else is written until this is known.
    unconfirmed: Option<(Revision, Arc<Config>)>,
    /// Whether a reply to the unconfirmed write was lost. A conflict of a later copy of that
    /// write then doesn't show that the first one had no effect.
    is_reply_lost: bool,
    conflicts: u8,
}

impl StoreJob {
    pub(crate) const fn new(id: JobId, task: Task, submitted: Instant) -> Self {
        let (phase, unconfirmed) = (Phase::Idle, None);
        Self { id, submitted, task, phase, unconfirmed, is_reply_lost: false, conflicts: 0 }
    }

    /// Returns whether no request is pending.
    pub(crate) fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Starts an attempt and returns its first request, a read.
    pub(crate) fn start_attempt(&mut self) -> StoreRequest {
        self.phase = Phase::Reading;
        StoreRequest::Read
    }

    /// Returns the outcome for a job that ends now because its time has run out.
    pub(crate) fn timeout_outcome(&self) -> Outcome {
        if self.unconfirmed.is_some() || matches!(self.task, Task::FindOutcome(_)) {
            Outcome::Unknown(self.write_id())
        } else {
            Outcome::Refused(RefusedChange::StoreUnreachable)
        }
    }

    /// Handles the reply to the pending request. `held` is the version that this node holds.
    pub(crate) fn reply(
        &mut self,
        reply: StoreReply,
        held: ConfigVersion,
        wall: UnixMillis,
    ) -> JobStep {
        let phase = std::mem::replace(&mut self.phase, Phase::Idle);
        match (phase, reply) {
            (Phase::Reading, StoreReply::Value(value)) => self.handle_value(value, held, wall),
            (Phase::Reading, StoreReply::Failed(StoreError::Corrupt))
                if self.unconfirmed.is_none() && matches!(self.task, Task::Submit(_)) =>
            {
                JobStep::Done(Outcome::Refused(RefusedChange::StoreCorrupt), None)
            }
            (Phase::Writing, StoreReply::Written(_)) => self.handle_written(),
            (Phase::Writing, StoreReply::Failed(error)) => self.handle_write_error(error),
            _ => JobStep::Retry { backoff: true },
        }
    }

    fn handle_value(
        &mut self,
        value: StoredConfig,
        held: ConfigVersion,
        wall: UnixMillis,
    ) -> JobStep {
        if let Some(version) = find_accepted_version(value.config.as_deref(), self.write_id()) {
            return JobStep::Done(Outcome::Accepted(version), value.config);
        }
        let version = value.config.as_ref().map(|cfg| cfg.version).unwrap_or_default();
        if let Some((revision, config)) = self.unconfirmed.clone() {
            // While the revision is unchanged, the lost write can still take effect. Repeating
            // the same write shows whether it has.
            if value.revision <= revision {
                return self.write(revision, config);
            }
            let beyond_history = config.version.get() + MAX_HISTORY_ENTRIES as u64;
            if version.get() >= beyond_history {
                return JobStep::Done(Outcome::Unknown(self.write_id()), value.config);
            }
            self.unconfirmed = None;
            self.is_reply_lost = false;
        }
        if version < held {
            return JobStep::Retry { backoff: true };
        }
        match &self.task {
            Task::FindOutcome(write_id) => {
                JobStep::Done(Outcome::NotFound(*write_id, version), value.config)
            }
            Task::Submit(submission) => match prepare(submission, value.config.as_deref(), wall) {
                Ok(Prepared::DryRun(lines)) => JobStep::Done(Outcome::WouldAccept(lines), None),
                Ok(Prepared::Write(config)) => self.write(value.revision, config),
                Err(refused) => JobStep::Done(Outcome::Refused(refused), value.config),
            },
        }
    }

    /// Starts a compare-and-swap, which counts as unconfirmed until its reply arrives.
    fn write(&mut self, revision: Revision, config: Arc<Config>) -> JobStep {
        self.phase = Phase::Writing;
        self.unconfirmed = Some((revision, config.clone()));
        JobStep::Request(StoreRequest::CompareAndSwap { revision, config })
    }

    fn handle_written(&mut self) -> JobStep {
        match self.unconfirmed.take() {
            Some((_, config)) => JobStep::Done(Outcome::Accepted(config.version), Some(config)),
            None => JobStep::Retry { backoff: true },
        }
    }

    fn handle_write_error(&mut self, error: StoreError) -> JobStep {
        match error {
            StoreError::Conflict => self.conflicts += 1,
            StoreError::NoEffect => {}
            StoreError::Unknown | StoreError::Corrupt => self.is_reply_lost = true,
        }
        if !self.is_reply_lost {
            self.unconfirmed = None;
            if self.conflicts > MAX_CONFLICTS {
                return JobStep::Done(Outcome::Refused(RefusedChange::TooManyConflicts), None);
            }
        }
        // The first conflict is retried without a delay.
        JobStep::Retry { backoff: error != StoreError::Conflict || self.conflicts > 1 }
    }

    const fn write_id(&self) -> WriteId {
        match &self.task {
            Task::Submit(submission) => submission.write_id,
            Task::FindOutcome(write_id) => *write_id,
        }
    }
}

enum Prepared {
    Write(Arc<Config>),
    DryRun(Vec<String>),
}

/// Applies `submission` to `current`. Returns the configuration to write or the lines of the
/// dry run, or the reason why it is refused.
fn prepare(
    submission: &Submission,
    current: Option<&Config>,
    wall: UnixMillis,
) -> Result<Prepared, RefusedChange> {
    let empty = ConfigContent::default();
    let content = current.map_or(&empty, |cfg| &cfg.content);
    let history = current.map_or(&[][..], |cfg| &cfg.history);
    check_team(submission, content).map_err(|e| RefusedChange::Invalid(vec![e]))?;
    let service = single_service(&submission.change, content);
    if let Some(base_version) = submission.base_version
        && let Some(winner) = find_conflict(history, base_version, service.as_ref())
    {
        return Err(RefusedChange::Conflict(winner));
    }
    let changed = submission.change.apply(content, wall).map_err(RefusedChange::Invalid)?;
    let entry = HistoryEntry {
        version: Config::next_version(current),
        write_id: submission.write_id,
        at: wall,
        service,
        operator: submission.operator.clone(),
        summary: submission.change.to_string().into(),
    };
    let config = Config::successor(current, changed, entry);
    if !submission.dry_run {
        return Ok(Prepared::Write(Arc::new(config)));
    }
    let nothing = Config { content: empty, history: Vec::new(), ..config.clone() };
    let delta = Delta::between(current.unwrap_or(&nothing), &config);
    Ok(Prepared::DryRun(delta.edits.iter().map(describe_edit).collect()))
}

/// Returns the version created by the write with `write_id`, if `config` or its history
/// contains it.
pub(crate) fn find_accepted_version(
    config: Option<&Config>,
    write_id: WriteId,
) -> Option<ConfigVersion> {
    let config = config?;
    let entry = config.history.iter().find(|entry| entry.write_id == write_id);
    entry.map(|entry| entry.version).or((config.write_id == write_id).then_some(config.version))
}
