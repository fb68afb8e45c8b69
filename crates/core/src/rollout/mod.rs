//! Decisions on shifting traffic to a new version and on rolling back a bad one.
//!
//! Each node counts the calls of the backend server beside it ([`EvidenceRecorder`]), the driver
//! merges the counts ([`Evidence`]), compares the versions ([`Judge`]), chooses the next share
//! ([`Ramp`]) and submits changes ([`Driver`]). A node that sends calls to both versions compares
//! them itself and stops a failing one at once ([`LocalStopRule`]).

mod bad_calls;
mod call_outcome;
mod call_stats;
mod comparison;
mod counted_calls;
mod driver;
mod driver_decision;
mod e_process;
mod evidence;
mod evidence_recorder;
mod evidence_report;
mod host_latencies;
mod host_speed;
mod judge;
mod latency_counts;
mod local_stop_rule;
mod notice;
mod ramp;
mod ramp_step;
mod rollout_status;
mod route_finding;
mod route_judge;
mod route_verdict;
mod window;

pub use bad_calls::BadCalls;
pub use call_outcome::CallOutcome;
pub use call_stats::CallStats;
pub use comparison::Comparison;
pub use counted_calls::{CountedCalls, CountingRole};
pub use driver::{BAKE_TIME, Driver};
pub use driver_decision::DriverDecision;
pub use e_process::EProcess;
pub use evidence::{Evidence, MAX_CELLS, MAX_WINDOWS};
pub use evidence_recorder::{EvidenceRecorder, REPORT_INTERVAL};
pub use evidence_report::{CellLabel, EvidenceReport};
pub use host_speed::HostSpeed;
pub use judge::{FALSE_ALARM_RATE, Judge, MAX_CLOCK_SKEW};
pub use latency_counts::LatencyCounts;
pub use local_stop_rule::{LOCAL_FALSE_ALARM_RATE, LocalStopRule};
pub use notice::{Notice, NoticeKind};
pub use ramp::{Ramp, RampDecision};
pub use ramp_step::RampStep;
pub use route_finding::RouteFinding;
pub use route_verdict::{RouteVerdict, Symptom};
pub use window::Window;
