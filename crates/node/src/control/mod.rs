//! The control thread: feeds events to the control state and executes its actions.

pub mod control_metrics;
pub mod control_request;
pub mod control_thread;
pub mod cost_meter;
mod counted_calls;
mod ended_calls;
mod report_reader;
pub mod state_log;
mod version_survey;
