//! Reads and writes of the store by this node.

use std::collections::BTreeSet;
use std::sync::Arc;

use rand::Rng;

use crate::config::{Change, Config, ServerVersion, StopMark};
use crate::control::Backoff;
use crate::control::cx::Cx;
use crate::control::pending_request::PendingRequest;
use crate::control::stop_marks::StopMarks;
use crate::control::stop_origin::StopOrigin;
use crate::control::{Action, RequestId, StateChange};
use crate::ids::{ConfigVersion, WriteId};
use crate::peers::PeerTable;
use crate::store::{
    JobId, Outcome, READERS_PER_DATA_CENTRE, ReadResult, ReaderRole, RefusedChange, StoreReader,
    StoreWriter, Submission, WriterStep,
};
use crate::units::{Instant, Micros, Millis};

/// Operator name under which nodes submit changes of their own.
const MESH_OPERATOR: &str = "almondsail";
/// Time after which the next-ranked node records a stop mark that is still unrecorded,
/// because the node before it may be cut off from the store.
const RECORDER_TAKEOVER_DELAY: Millis = Millis::new(3_000);
/// Number of nodes, by rank, that may record a stop mark.
const MAX_RECORDERS: usize = 16;
/// Bound of the delay after the first failed attempt to record stop marks.
const INITIAL_BACKOFF: Millis = Millis::new(200);
/// Largest bound of the delay between attempts to record stop marks.
const MAX_BACKOFF: Millis = Millis::new(2_000);

/// Reader and writer of the store, and the changes that this node submits itself.
#[derive(Debug, Clone)]
pub(crate) struct StoreAccess {
    pub(crate) reader: StoreReader,
    pub(crate) writer: StoreWriter,
    /// Whether the reader's last request to the store failed.
    pub(crate) is_unreachable: bool,
    /// Pending submissions of stops that are already in force on the nodes.
    stops_in_force: BTreeSet<RequestId>,
    /// Number of the pending submission of stop marks. There is at most one.
    pending_recording: Option<u64>,
    /// Number of submissions of stop marks, which makes their job ids unique.
    recording_count: u64,
    /// Number of rollout steps submitted, which makes their job ids unique.
    step_count: u64,
    next_recording_attempt: Instant,
    backoff: Backoff,
}

impl Default for StoreAccess {
    fn default() -> Self {
        Self {
            reader: StoreReader::default(),
            writer: StoreWriter::default(),
            is_unreachable: false,
            stops_in_force: BTreeSet::new(),
            pending_recording: None,
            recording_count: 0,
            step_count: 0,
            next_recording_attempt: Instant::default(),
            backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
        }
    }
}

impl StoreAccess {
    /// Updates the reader's role from the peer table, and reports when it starts or stops.
    pub(crate) fn update_role<R: Rng>(
        &mut self,
        table: &PeerTable,
        is_leaving: bool,
        cx: &mut Cx<'_, R>,
    ) {
        let role = reader_role(table, is_leaving);
        if self.reader.set_role(role, cx.now, cx.rng) {
            cx.report(match role {
                ReaderRole::None => StateChange::ReaderStopped,
                ReaderRole::Ranked | ReaderRole::Alone => StateChange::ReaderStarted,
            });
        }
    }

    /// Sends the reader's next request to the store if one is due.
    pub(crate) fn read<R>(&mut self, cx: &mut Cx<'_, R>) {
        if let Some(request) = self.reader.poll(cx.now) {
            cx.out.send_store_request(request, PendingRequest::StoreRead, cx.now);
        }
    }

    /// Reports the result of a read or watch. Returns the configuration that it found.
    pub(crate) fn handle_read_result<R>(
        &mut self,
        result: ReadResult,
        cx: &mut Cx<'_, R>,
    ) -> Option<Arc<Config>> {
        let is_unreachable = matches!(result, ReadResult::Failed);
        if std::mem::replace(&mut self.is_unreachable, is_unreachable) != is_unreachable {
            cx.report(if is_unreachable {
                StateChange::StoreLost
            } else {
                StateChange::StoreRegained
            });
        }
        match result {
            ReadResult::Config(config) => return Some(config),
            ReadResult::Stale(version) => cx.report(StateChange::ConfigOlder(version)),
            ReadResult::Corrupt => cx.report(StateChange::StoreValueCorrupt),
            ReadResult::Nothing | ReadResult::Failed => {}
        }
        None
    }

    /// Sends the writer's requests and outcomes. Returns the configurations that it read.
    pub(crate) fn handle_writer_steps<R: Rng>(
        &mut self,
        steps: Vec<WriterStep>,
        cx: &mut Cx<'_, R>,
    ) -> Vec<Arc<Config>> {
        let mut seen = Vec::new();
        for step in steps {
            match step {
                WriterStep::Request(job, request) => {
                    cx.out.send_store_request(request, PendingRequest::StoreWrite(job), cx.now);
                }
                WriterStep::Done(job, outcome, config) => {
                    seen.extend(config);
                    self.handle_outcome(job, outcome, cx);
                }
            }
        }
        seen
    }

    fn handle_outcome<R: Rng>(&mut self, job: JobId, outcome: Outcome, cx: &mut Cx<'_, R>) {
        match job {
            JobId::Submitter(id) => {
                let is_stopped = self.stops_in_force.remove(&id);
                let unreachable = Outcome::Refused(RefusedChange::StoreUnreachable);
                let outcome = if is_stopped && outcome == unreachable {
                    Outcome::StoppedUnrecorded
                } else {
                    outcome
                };
                cx.out.push(Action::Submitted { id, outcome });
            }
            JobId::StopMarks(number) if self.pending_recording == Some(number) => {
                self.pending_recording = None;
                match outcome {
                    Outcome::Accepted(_) => self.backoff.reset(),
                    _ => self.next_recording_attempt = cx.now + self.backoff.next_delay(cx.rng),
                }
            }
            // The next review of the rollout shows whether its step was accepted.
            JobId::StopMarks(_) | JobId::RolloutStep(_) => {}
        }
    }

    /// Submits one group of stop marks to the store, if this node is the one to record it.
    pub(crate) fn record_stops<R: Rng>(
        &mut self,
        stops: &StopMarks,
        config: Option<&Config>,
        table: &PeerTable,
        cx: &mut Cx<'_, R>,
    ) {
        if self.pending_recording.is_some() || cx.now < self.next_recording_attempt {
            return;
        }
        let Some(config) = config else { return };
        for (mut marks, origin) in stops.groups_by_service() {
            marks.retain(|mark| is_recordable(mark, config));
            if !marks.is_empty() && is_recorder_for(&marks[0], &origin, table, cx.now) {
                self.record(marks, &origin, config, cx);
                return;
            }
        }
    }

    /// Queues an operator's submission. Returns whether the writer accepted it. `is_stopped`
    /// tells that the stop it asks for is already in force.
    pub(crate) fn submit(
        &mut self,
        id: RequestId,
        submission: Submission,
        is_stopped: bool,
        now: Instant,
    ) -> bool {
        let is_taken = self.writer.submit(JobId::Submitter(id), submission, now);
        if is_taken && is_stopped {
            self.stops_in_force.insert(id);
        }
        is_taken
    }

    /// Submits a step of a rollout that this node drives. Returns whether the writer accepted
    /// it.
    pub(crate) fn submit_step<R: Rng>(&mut self, change: Change, cx: &mut Cx<'_, R>) -> bool {
        let Some(submission) = mesh_submission(change, None, cx.rng) else { return false };
        self.step_count += 1;
        self.writer.submit(JobId::RolloutStep(self.step_count), submission, cx.now)
    }

    /// Submits `marks`, which `config` has not resolved. The version of `config` is the base,
    /// so the submission is refused if the service changed since: an operator may have cleared
    /// the marks.
    fn record<R: Rng>(
        &mut self,
        marks: Vec<StopMark>,
        origin: &StopOrigin,
        config: &Config,
        cx: &mut Cx<'_, R>,
    ) {
        let change = Change::AddStops { marks, reason: origin.reason.clone() };
        let Some(submission) = mesh_submission(change, Some(config.version), cx.rng) else {
            return;
        };
        self.recording_count += 1;
        if self.writer.submit(JobId::StopMarks(self.recording_count), submission, cx.now) {
            self.pending_recording = Some(self.recording_count);
        }
    }
}

/// Creates the submission of a change that a node makes by itself.
fn mesh_submission(
    change: Change,
    base_version: Option<ConfigVersion>,
    rng: &mut impl Rng,
) -> Option<Submission> {
    Some(Submission {
        write_id: WriteId::new(rng.random()),
        operator: MESH_OPERATOR.parse().ok()?,
        team: None,
        base_version,
        change,
        dry_run: false,
    })
}

fn reader_role(table: &PeerTable, is_leaving: bool) -> ReaderRole {
    let own = table.own();
    if is_leaving {
        ReaderRole::None
    } else if table.is_alone() {
        ReaderRole::Alone
    } else {
        let readers = table.rank("reader", Some(&own.data_centre), READERS_PER_DATA_CENTRE);
        if readers.contains(&&own.id) { ReaderRole::Ranked } else { ReaderRole::None }
    }
}

/// Returns whether `config` has the version and route that `mark` stops. Otherwise the store
/// writer would refuse the change.
fn is_recordable(mark: &StopMark, config: &Config) -> bool {
    let version = ServerVersion { service: mark.service.clone(), version: mark.version.clone() };
    config.content.versions.contains(&version)
        && mark.route.as_ref().is_none_or(|route| config.content.routes.contains_key(route))
}

/// Returns whether this node is the one to record `mark` now.
fn is_recorder_for(mark: &StopMark, origin: &StopOrigin, table: &PeerTable, now: Instant) -> bool {
    let ranked = table.rank(&format!("stops/{}", mark.service), None, MAX_RECORDERS);
    let place = ranked.iter().position(|id| **id == table.own().id);
    place.is_some_and(|place| {
        let wait = RECORDER_TAKEOVER_DELAY.get().saturating_mul(place as u64);
        now.since(origin.received) >= Micros::from(Millis::new(wait))
    })
}
