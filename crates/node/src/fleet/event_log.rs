//! The log of a node of a fleet. All its events are formatted here.

use std::sync::{Arc, Mutex, PoisonError};

use almondsail_core::fleet::{
    CallOutcome, CallRecord, EndpointChoice, FleetLogEvent, InboundCallRecord, LogBudget, LogClass,
};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use slog::{KV, Logger, Record, Result, Serializer, info};

use crate::clock::Clock;

/// Writes events as JSON lines, with a limit on the lines of each class in a second. Clones share
/// the log and the limit.
#[derive(Debug, Clone)]
pub(crate) struct EventLog {
    log: Logger,
    clock: Clock,
    /// Lines left in the current second. Locked only to take one.
    budget: Arc<Mutex<LogBudget>>,
    skipped: Counter<u64>,
}

impl EventLog {
    pub(crate) fn new(log: Logger, clock: Clock, meter: &Meter) -> Self {
        let skipped = meter
            .u64_counter("fleet_log_skipped")
            .with_description("Log lines that were not written because their second was full")
            .build();
        Self { log, clock, budget: Arc::default(), skipped }
    }

    /// Writes `event`, unless the line limit of its class is reached.
    pub(crate) fn write(&self, event: &FleetLogEvent) {
        if self.take_line(event.class()) {
            self.write_line(event);
        }
    }

    /// Writes the event that `event` builds, unless the line limit of its class `class` is
    /// reached. The event is built only when it is written, since most calls are not logged.
    pub(crate) fn write_with(&self, class: LogClass, event: impl FnOnce() -> FleetLogEvent) {
        if self.take_line(class) {
            self.write_line(&event());
        }
    }

    /// Takes a line of `class` from the budget; counts it as skipped if there is none left.
    fn take_line(&self, class: LogClass) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let is_allowed = budget.try_acquire(self.clock.now(), class);
        drop(budget);
        if !is_allowed {
            self.skipped.add(1, &[KeyValue::new("class", class.as_str())]);
        }
        is_allowed
    }

    fn write_line(&self, event: &FleetLogEvent) {
        info!(self.log, "{}", event.message(); EventFields(event));
    }
}

/// Serializes the fields of an event into its log line.
struct EventFields<'a>(&'a FleetLogEvent);

impl KV for EventFields<'_> {
    fn serialize(&self, _: &Record<'_>, out: &mut dyn Serializer) -> Result {
        match self.0 {
            FleetLogEvent::Started { callers, nodes } => {
                out.emit_arguments("callers", &format_args!("{callers}"))?;
                out.emit_arguments("nodes", &format_args!("{nodes}"))
            }
            FleetLogEvent::Stopping { signal } => out.emit_str("signal", signal),
            FleetLogEvent::ControlEnded
            | FleetLogEvent::CallsAborted
            | FleetLogEvent::Stopped
            | FleetLogEvent::SettingsChanged => Ok(()),
            FleetLogEvent::Change(change) => {
                out.emit_str("kind", change.kind())?;
                out.emit_arguments("what", &format_args!("{change}"))
            }
            FleetLogEvent::AnnouncementRefused { server, problem } => {
                out.emit_str("server", server)?;
                out.emit_str("problem", problem)
            }
            FleetLogEvent::HeartbeatRefused { from, problem } => {
                out.emit_arguments("from", &format_args!("{from}"))?;
                out.emit_str("problem", problem)
            }
            FleetLogEvent::HeartbeatFailed { problem } => out.emit_str("problem", problem),
            FleetLogEvent::ControlLate { delay } => out.emit_u64("delay_us", delay.get()),
            FleetLogEvent::Call(call) => call_fields(call, out),
            FleetLogEvent::InboundCall(call) => inbound_call_fields(call, out),
            FleetLogEvent::Unanswered { listener, end, requests } => {
                out.emit_str("listener", listener)?;
                out.emit_str("end", end.as_str())?;
                out.emit_usize("requests", *requests)
            }
        }
    }
}

fn call_fields(call: &CallRecord, out: &mut dyn Serializer) -> Result {
    if let Some(id) = &call.id {
        out.emit_str("id", id)?;
    }
    if let Some(route) = &call.route {
        out.emit_str("route", route.as_str())?;
    }
    if let Some(service) = &call.service {
        out.emit_str("service", service.as_str())?;
    }
    out.emit_u64("config", call.config.get())?;
    out.emit_u32("budget_left", call.budget_left)?;
    out.emit_str("doors", &join(&call.endpoints_tried, endpoint_text))?;
    out.emit_str("beliefs", &join(&call.endpoints_tried, estimate_text))?;
    out.emit_u64("took_us", call.took.get())?;
    outcome_fields(call.outcome, out)
}

fn inbound_call_fields(call: &InboundCallRecord, out: &mut dyn Serializer) -> Result {
    if let Some(id) = &call.id {
        out.emit_str("id", id)?;
    }
    out.emit_str("route", call.route.as_str())?;
    out.emit_str("service", call.service.as_str())?;
    out.emit_str("backend", call.backend.as_str())?;
    out.emit_u32("ahead", call.calls_ahead)?;
    out.emit_u64("left_us", call.deadline_left.get())?;
    out.emit_u64("took_us", call.took.get())?;
    outcome_fields(call.outcome, out)
}

fn outcome_fields(outcome: CallOutcome, out: &mut dyn Serializer) -> Result {
    match outcome {
        CallOutcome::Answered(status) => out.emit_u16("status", status),
        CallOutcome::Failed { verdict, reason, has_arrived, retry_after } => {
            out.emit_str("verdict", verdict.as_str())?;
            out.emit_str("reason", reason.as_str())?;
            out.emit_bool("arrived", has_arrived)?;
            out.emit_u64("retry_after_us", retry_after.get())
        }
    }
}

fn join(endpoints_tried: &[EndpointChoice], text: impl Fn(&EndpointChoice) -> String) -> String {
    endpoints_tried.iter().map(text).collect::<Vec<_>>().join(" ")
}

fn endpoint_text(choice: &EndpointChoice) -> String {
    let endpoint = &choice.endpoint;
    format!("{}/{}/{}", endpoint.node, endpoint.backend, endpoint.version)
}

/// Formats the estimated load of an endpoint: its calls, the age of its last load report, the
/// expected time of an answer and the time left until the deadline. Times are in microseconds.
fn estimate_text(choice: &EndpointChoice) -> String {
    let judged = if choice.is_judged { "/judged" } else { "" };
    let age = choice.load_age.map_or_else(|| "unknown".to_owned(), |age| age.get().to_string());
    let (expected, deadline_left) = (choice.expected.get(), choice.deadline_left.get());
    format!("{}/{age}/{expected}/{deadline_left}{judged}", choice.calls_ahead)
}
