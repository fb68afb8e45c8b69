//! Handling of store replies and submitted changes.

use rand::Rng;

use crate::control::cx::Cx;
use crate::control::pending_request::PendingRequest;
use crate::control::state::Control;
use crate::control::stop_origin::StopOrigin;
use crate::control::{Action, RequestId};
use crate::ids::WriteId;
use crate::store::scope::check_team;
use crate::store::{JobId, Outcome, RefusedChange, StoreReply, Submission, WriterStep};

impl Control {
    pub(super) fn handle_store_reply<R: Rng>(
        &mut self,
        request: PendingRequest,
        reply: StoreReply,
        cx: &mut Cx<'_, R>,
    ) {
        let held = self.dissemination.sync.version();
        match request {
            PendingRequest::StoreRead => {
                let result = self.store.reader.reply(reply, held, cx.now, cx.rng);
                if let Some(config) = self.store.handle_read_result(result, cx) {
                    self.dissemination.offer(config, cx);
                    self.remove_resolved_stops(cx);
                }
            }
            PendingRequest::StoreHour => self.accounting.handle_store_reply(reply, cx),
            PendingRequest::StoreWrite(job) => {
                let times = (cx.now, cx.wall);
                let steps = self.store.writer.reply(job, reply, held, times, cx.rng);
                self.handle_writer_steps(steps, cx);
            }
            _ => {}
        }
    }

    pub(super) fn handle_writer_steps<R: Rng>(
        &mut self,
        steps: Vec<WriterStep>,
        cx: &mut Cx<'_, R>,
    ) {
        for config in self.store.handle_writer_steps(steps, cx) {
            // A peer may have sent a newer configuration than the writer read.
            if config.version > self.dissemination.sync.version() {
                self.dissemination.offer(config, cx);
            }
        }
        self.remove_resolved_stops(cx);
    }

    pub(super) fn submit<R: Rng>(
        &mut self,
        id: RequestId,
        submission: Submission,
        cx: &mut Cx<'_, R>,
    ) {
        if self.is_leaving {
            let outcome = Outcome::Refused(RefusedChange::Stopping);
            cx.out.push(Action::Submitted { id, outcome });
            return;
        }
        let is_stopped = self.apply_stop_immediately(&submission, cx);
        if self.store.submit(id, submission, is_stopped, cx.now) {
            let steps = self.store.writer.poll(cx.now);
            self.handle_writer_steps(steps, cx);
        } else {
            let outcome = Outcome::Refused(RefusedChange::Busy);
            cx.out.push(Action::Submitted { id, outcome });
        }
    }

    /// Puts the marks of a submitted stop in force before the store has recorded it, so that a
    /// stop also works without the store. Returns whether there were any.
    pub(super) fn apply_stop_immediately<R>(
        &mut self,
        submission: &Submission,
        cx: &mut Cx<'_, R>,
    ) -> bool {
        let Some(config) = self.dissemination.sync.config().cloned() else { return false };
        let change = &submission.change;
        let marks = change.stops(&config.content);
        let is_allowed = !submission.dry_run
            && check_team(submission, &config.content).is_ok()
            && change.apply(&config.content, cx.wall).is_ok();
        if marks.is_empty() || !is_allowed {
            return false;
        }
        let origin = StopOrigin::new(config.version, &change.to_string(), cx.now);
        self.add_stops(marks, &origin, cx);
        true
    }

    pub(super) fn query_outcome<R: Rng>(
        &mut self,
        id: RequestId,
        write_id: WriteId,
        cx: &mut Cx<'_, R>,
    ) {
        if self.store.writer.query_outcome(JobId::Submitter(id), write_id, cx.now) {
            let steps = self.store.writer.poll(cx.now);
            self.handle_writer_steps(steps, cx);
        } else {
            let outcome = Outcome::Refused(RefusedChange::Busy);
            cx.out.push(Action::Submitted { id, outcome });
        }
    }
}
