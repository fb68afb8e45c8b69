//! The HTTP API for operators: commands, queries, outcomes and reports.

mod operator_api;
pub mod operator_auth;
pub mod operator_control;
pub mod operator_error;
mod operator_json;
mod operator_outcome_path;
mod operator_report_params;

pub use operator_api::{ErrorHook, OperatorApi};
