//! Writer of the configuration in the store.

use std::collections::VecDeque;

use rand::Rng;

use crate::control::Backoff;
use crate::ids::{ConfigVersion, WriteId};
use crate::store::store_job::{JobStep, StoreJob, Task};
use crate::store::{JobId, StoreReply, Submission, WriterStep};
use crate::units::{Instant, Micros, Millis, UnixMillis};

/// Maximum number of pending submissions and outcome queries.
pub const MAX_JOBS: usize = 32;
/// Time within which a submission or outcome query is answered.
pub const JOB_TIMEOUT: Millis = Millis::new(5_000);
/// Bound of the delay after the first failed attempt.
const INITIAL_BACKOFF: Millis = Millis::new(50);
/// Largest bound of the delay between attempts.
const MAX_BACKOFF: Millis = Millis::new(800);

/// Writes submitted changes to the store, one at a time.
///
/// Concurrent writes of one node would only conflict with each other.
#[derive(Debug, Clone)]
pub struct StoreWriter {
    /// Pending jobs, at most [`MAX_JOBS`]. Only the first one makes requests.
    jobs: VecDeque<StoreJob>,
    /// Time from which the first job may make its next attempt.
    next_attempt: Instant,
    backoff: Backoff,
}

impl Default for StoreWriter {
    fn default() -> Self {
        let backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        Self { jobs: VecDeque::new(), next_attempt: Instant::default(), backoff }
    }
}

impl StoreWriter {
    /// Returns the number of pending submissions and outcome queries.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no submission or outcome query is pending.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Queues a change. Returns false if the queue is full.
    pub fn submit(&mut self, id: JobId, submission: Submission, now: Instant) -> bool {
        self.push(StoreJob::new(id, Task::Submit(Box::new(submission)), now))
    }

    /// Queues a query for the outcome of a change. Returns false if the queue is full.
    pub fn query_outcome(&mut self, id: JobId, write_id: WriteId, now: Instant) -> bool {
        self.push(StoreJob::new(id, Task::FindOutcome(write_id), now))
    }

    /// Ends the jobs that exceeded [`JOB_TIMEOUT`], and starts the next attempt if it is due.
    pub fn poll(&mut self, now: Instant) -> Vec<WriterStep> {
        let mut steps = Vec::new();
        let is_overdue = |job: &StoreJob| now.since(job.submitted) >= Micros::from(JOB_TIMEOUT);
        for job in self.jobs.iter().filter(|job| is_overdue(job)) {
            steps.push(WriterStep::Done(job.id, job.timeout_outcome(), None));
        }
        let first = self.jobs.front().map(|job| job.id);
        self.jobs.retain(|job| !is_overdue(job));
        if self.jobs.front().map(|job| job.id) != first {
            self.reset_attempts(now);
        }
        if now >= self.next_attempt
            && let Some(job) = self.jobs.front_mut().filter(|job| job.is_idle())
        {
            steps.push(WriterStep::Request(job.id, job.start_attempt()));
        }
        steps
    }

    /// Handles the store's reply for the job `id`. `held` is the version that this node holds.
    pub fn reply(
        &mut self,
        id: JobId,
        reply: StoreReply,
        held: ConfigVersion,
        (now, wall): (Instant, UnixMillis),
        rng: &mut impl Rng,
    ) -> Vec<WriterStep> {
        // The reply may be for a job that has already timed out.
        let Some(job) = self.jobs.front_mut().filter(|job| job.id == id && !job.is_idle()) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        match job.reply(reply, held, wall) {
            JobStep::Request(request) => steps.push(WriterStep::Request(id, request)),
            JobStep::Retry { backoff: false } => {}
            JobStep::Retry { backoff: true } => {
                self.next_attempt = now + self.backoff.next_delay(rng)
            }
            JobStep::Done(outcome, config) => {
                steps.push(WriterStep::Done(id, outcome, config));
                self.jobs.pop_front();
                self.reset_attempts(now);
            }
        }
        steps.extend(self.poll(now));
        steps
    }

    fn push(&mut self, job: StoreJob) -> bool {
        let has_room = self.jobs.len() < MAX_JOBS;
        if has_room {
            self.jobs.push_back(job);
        }
        has_room
    }

    fn reset_attempts(&mut self, now: Instant) {
        self.next_attempt = now;
        self.backoff.reset();
    }
}
