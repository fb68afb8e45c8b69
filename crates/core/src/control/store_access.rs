//! How this node uses the store.

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

/// The name under which nodes record stop marks.
const MESH_OPERATOR: &str = "almondsail";
/// The node that ranks next for a mark records it if it is not recorded after
/// this time, because the one before it may be cut off from the store.
const RECORDER_TAKEOVER_DELAY: Millis = Millis::new(3_000);
/// Number of nodes that record marks at most.
const MAX_RECORDERS: usize = 16;
/// The first and the longest bound of the time between attempts to record marks.
const INITIAL_BACKOFF: Millis = Millis::new(200);
const MAX_BACKOFF: Millis = Millis::new(2_000);

/// How this node uses the store.
#[derive(Debug, Clone)]
pub(crate) struct StoreAccess {
    pub(crate) reader: StoreReader,
    pub(crate) writer: StoreWriter,
    pub(crate) is_unreachable: bool,
    /// The submissions in hand that ask for a stop that is in force already.
    stops_in_force: BTreeSet<RequestId>,
    /// The submission of stop marks under way; there is one at most.
    pending_recording: Option<u64>,
    recording_count: u64,
    /// Number of steps of rollouts submitted.
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
    /// Takes the node's present place among the readers.
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

    /// Asks the store if it is time.
    pub(crate) fn read<R>(&mut self, cx: &mut Cx<'_, R>) {
        if let Some(request) = self.reader.poll(cx.now) {
            cx.out.send_store_request(request, PendingRequest::StoreRead, cx.now);
        }
    }

    /// Reports what the reader met; returns the configuration that it found.
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

    /// Sends the writer's requests and outcomes; returns the configurations that it saw.
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
                    _ => self.next_recording_attempt = cx.now + self.backoff.draw(cx.rng),
                }
            }
            // The next look at the rollout finds out what became of its step.
            JobId::StopMarks(_) | JobId::RolloutStep(_) => {}
        }
    }

    /// Records stop marks in the store if it falls to this node.
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

    /// Takes an operator's submission in hand; returns whether the writer took it.
    /// `is_stopped` tells that the stop that it asks for is in force already.
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

    /// Submits the step of a rollout that this node drives; returns whether the writer took it.
    pub(crate) fn submit_step<R: Rng>(&mut self, change: Change, cx: &mut Cx<'_, R>) -> bool {
        let Some(submission) = mesh_submission(change, None, cx.rng) else { return false };
        self.step_count += 1;
        self.writer.submit(JobId::RolloutStep(self.step_count), submission, cx.now)
    }

    /// Submits `marks`, which `config` has not decided on. If their service
    /// changed since, the marks are compared with the newer version first: an
    /// operator may have cleared them.
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

/// A change that nodes submit of their own accord.
fn mesh_submission(
    change: Change,
    base: Option<ConfigVersion>,
    rng: &mut impl Rng,
) -> Option<Submission> {
    Some(Submission {
        write_id: WriteId::new(rng.random()),
        operator: MESH_OPERATOR.parse().ok()?,
        team: None,
        base,
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

/// Whether `config` has what `mark` stops; otherwise the change would be refused.
fn is_recordable(mark: &StopMark, config: &Config) -> bool {
    let version = ServerVersion { service: mark.service.clone(), version: mark.version.clone() };
    config.content.versions.contains(&version)
        && mark.route.as_ref().is_none_or(|route| config.content.routes.contains_key(route))
}

/// Whether it falls to this node to record `mark`.
fn is_recorder_for(mark: &StopMark, origin: &StopOrigin, table: &PeerTable, now: Instant) -> bool {
    let ranked = table.rank(&format!("stops/{}", mark.service), None, MAX_RECORDERS);
    let place = ranked.iter().position(|id| **id == table.own().id);
    place.is_some_and(|place| {
        let wait = RECORDER_TAKEOVER_DELAY.get().saturating_mul(place as u64);
        now.since(origin.received) >= Micros::from(Millis::new(wait))
    })
}
