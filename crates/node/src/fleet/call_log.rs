//! Log lines of calls.

use std::sync::atomic::{AtomicU64, Ordering};

use almondsail_core::units::Micros;
use bytes::Bytes;
use http::Response;
use http::header::HeaderValue;
use slog::{Logger, info, o};

use crate::clock::Clock;
use crate::fleet::caller_handler::CallerResult;
use crate::fleet::door_call::DoorCall;
use crate::fleet::door_failure::DoorFailure;

/// Lines of failed calls in one second; further ones are only counted.
const FAILURES_A_SECOND: u64 = 100;
/// Lines of answered calls in one second.
const ANSWERS_A_SECOND: u64 = 5;

/// Writes one line for each decision on a call, within a bound on the lines of a second.
#[derive(Debug)]
pub(crate) struct CallLog {
    log: Logger,
    clock: Clock,
    failures: LineBudget,
    answers: LineBudget,
}

/// The lines of the present second.
#[derive(Debug)]
struct LineBudget {
    most: u64,
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineBudget {
    const fn new(most: u64) -> Self {
        Self { most, second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    fn take(&self, clock: Clock) -> bool {
        let second = clock.now().get() / 1_000_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < self.most
    }
}

impl CallLog {
    pub(crate) fn new(log: Logger, clock: Clock) -> Self {
        let failures = LineBudget::new(FAILURES_A_SECOND);
        let answers = LineBudget::new(ANSWERS_A_SECOND);
        Self { log, clock, failures, answers }
    }

    /// A caller's request ended after `took`.
    pub(crate) fn caller(&self, id: Option<&HeaderValue>, took: Micros, result: &CallerResult) {
        if !self.budget(result.answer.is_ok()).take(self.clock) {
            return;
        }
        let doors: Vec<String> = result
            .doors
            .iter()
            .map(|door| format!("{}/{}/{}", door.node, door.backend, door.version))
            .collect();
        let log = self.log.new(o!(
            "id" => text(id),
            "took_us" => took.get(),
            "route" => result.route.as_ref().map(|route| route.name.to_string()),
            "service" => result.service.as_ref().map(ToString::to_string),
            "config" => result.config_version,
            "doors" => doors.join(" "),
        ));
        outcome(&log, "call", result.answer.as_ref());
    }

    /// A call ended at this node's door after `took`. When it came, `ahead` calls ran or went
    /// before it.
    pub(crate) fn door(
        &self,
        call: &DoorCall,
        took: Micros,
        ahead: u32,
        result: Result<&Response<Bytes>, &DoorFailure>,
    ) {
        if !self.budget(result.is_ok()).take(self.clock) {
            return;
        }
        let left = call.deadline.since(self.clock.now());
        let log = self.log.new(o!(
            "id" => text(call.id()),
            "took_us" => took.get(),
            "route" => call.route.to_string(),
            "service" => call.service.to_string(),
            "backend" => call.backend.to_string(),
            "ahead" => ahead,
            "left_us" => left.get(),
        ));
        outcome(&log, "door", result);
    }

    const fn budget(&self, is_answered: bool) -> &LineBudget {
        if is_answered { &self.answers } else { &self.failures }
    }
}

fn outcome(log: &Logger, message: &'static str, result: Result<&Response<Bytes>, &DoorFailure>) {
    match result {
        Ok(response) => info!(log, "{}", message; "status" => response.status().as_u16()),
        Err(failure) => info!(log, "{}", message;
            "verdict" => failure.verdict.as_str(),
            "reason" => failure.reason.as_str(),
            "arrived" => failure.has_arrived,
            "retry_after_us" => failure.retry_after.get(),
        ),
    }
}

fn text(id: Option<&HeaderValue>) -> String {
    id.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned()
}
